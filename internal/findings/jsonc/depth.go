package jsonc

// maxDepth bounds the nesting of a text, since the parser recurses once a level.
const maxDepth = 64

// tooDeep returns the offset of the first bracket beyond maxDepth, or -1. Brackets in
// strings and comments do not count.
func tooDeep(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '[', '{':
			depth++
			if depth > maxDepth {
				return i
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that closes the string opened at start.
func skipString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// skipComment returns the offset of the last byte of the comment that begins at start,
// or start when none does.
func skipComment(text []byte, start int) int {
	if start+1 >= len(text) {
		return start
	}
	switch text[start+1] {
	case '/':
		for i := start + 2; i < len(text); i++ {
			if text[i] == '\n' {
				return i
			}
		}
		return len(text)
	case '*':
		for i := start + 3; i < len(text); i++ {
			if text[i-1] == '*' && text[i] == '/' {
				return i
			}
		}
		return len(text)
	}
	return start
}

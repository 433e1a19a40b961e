package jsonc

// maxDepth bounds the nesting of a text, because the parser recurses once per level.
const maxDepth = 64

// firstTooDeep returns the offset of the first bracket that is nested deeper than maxDepth,
// or -1. It ignores brackets in strings and comments.
func firstTooDeep(text []byte) int {
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

// skipString returns the offset of the quote that closes the string opened at start, or the
// length of the text if the string is not closed.
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

// skipComment returns the offset of the byte that ends the comment that begins at start: the
// newline after a line comment, or the final slash of a block comment. It returns start if there
// is no comment, and the length of the text if the comment does not end.
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

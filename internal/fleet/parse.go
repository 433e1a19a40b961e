package fleet

import (
	"fmt"

	"rattanchute/internal/findings"
	"rattanchute/internal/findings/jsonc"
)

// MaxTextBytes is the size of the largest configuration text. It leaves room for the
// escapes and the audit entries that are stored with it in one value of the platform.
const MaxTextBytes = 768 << 10

// ParseConfiguration reads a configuration in JSON with comments. It returns either a
// valid configuration or everything that is wrong with the text.
func ParseConfiguration(file string, text []byte) (*Configuration, findings.List) {
	if len(text) > MaxTextBytes {
		return nil, findings.List{tooLong(file, len(text))}
	}
	document := jsonc.Parse(file, text)
	c := &Configuration{}
	document.Decode(c)
	newValidator(document, c).validate()
	if list := document.Findings(); len(list) > 0 {
		return nil, list
	}
	return c, nil
}

func tooLong(file string, size int) findings.Finding {
	return findings.Finding{
		File:     file,
		Line:     1,
		Column:   1,
		Message:  fmt.Sprintf("the text has %d bytes", size),
		Accepted: fmt.Sprintf("accepted are at most %d bytes", MaxTextBytes),
	}
}

package fleet

import (
	"fmt"

	"rattanchute/internal/findings"
	"rattanchute/internal/findings/jsonc"
)

// MaxTextBytes is the maximum size of a configuration text. It leaves room for escaping and for
// the audit entries that are stored with the text in one value of the platform.
const MaxTextBytes = 768 << 10

// ParseConfiguration parses a configuration written in JSON with comments. It returns either a
// valid configuration or all findings about the text.
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

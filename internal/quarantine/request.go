package quarantine

import "time"

// Request is what of a caller's request may crash endpoints.
type Request struct {
	// Fleet serves the request.
	Fleet string
	// Parts are the parts of its prompt that other requests may have too; nil without a prompt.
	Parts []string
	// Fingerprint is what the request and its repetitions have in common, as Fingerprint returns it.
	Fingerprint string
}

// cause is a possible cause of crashes: a part of the prompts that a fleet gets, or a request, which may
// reach several fleets. Either part or fingerprint is set.
type cause struct {
	fleet, part string
	fingerprint string
}

// isRequest reports whether the cause is a request.
func (c cause) isRequest() bool { return c.fingerprint != "" }

// causes returns what of the request may be the cause of a crash.
func (r *Request) causes() []cause {
	list := make([]cause, 0, len(r.Parts)+1)
	for _, part := range r.Parts {
		list = append(list, cause{fleet: r.Fleet, part: part})
	}
	if r.Fingerprint != "" {
		list = append(list, cause{fingerprint: r.Fingerprint})
	}
	return list
}

// attempt is a request that was sent to one run of an endpoint.
type attempt struct {
	Request
	endpoint string
	// ran is the time from when it was sent until it ended.
	ran time.Duration
}

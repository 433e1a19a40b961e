package policybench

import (
	"math/rand/v2"
	"time"
)

// blockTokens is the length of the blocks after which prefixes are hashed.
const blockTokens = 500

// preambleTokens is the length of the start that all prompts share in the preamble scenario.
const preambleTokens = 1500

// request is one request of a caller.
type request struct {
	organisation string
	priority     int
	prefixes     []uint64
	prefixTokens []int
	promptTokens int
	outputTokens int
	arrived      time.Time
	// generated is the number of output tokens that failed attempts have delivered.
	generated int
	// decoding is when the running attempt started to generate; zero if it has not.
	decoding time.Time
	// prefilled is set when the first prefill of the request starts.
	prefilled bool
	first     time.Duration
	hasFirst  bool
	excluded  []string
}

// ownTokens returns the length that a prefix adds to the next shorter one.
func (r *request) ownTokens(level int) int {
	if level == 0 {
		return r.prefixTokens[0]
	}
	return r.prefixTokens[level] - r.prefixTokens[level-1]
}

// contextTokens returns the number of tokens that must be in the KV cache before the next
// token.
func (r *request) contextTokens() int { return r.promptTokens + r.generated }

// promptPart is a part of a site's prompts that exists in several kinds.
type promptPart struct {
	name   string
	kinds  int
	tokens int
}

// customer is an organisation and its share of the requests.
type customer struct {
	name     string
	share    float64
	priority int
}

// Site is a user's fleet and workload.
type Site struct {
	Name        string
	Runners     int
	Slots       int
	PrefillRate float64 // tokens per second
	TokenTime   time.Duration
	CacheTokens int
	Customers   []customer
	// Parts are nested: each kind of the second part belongs to one kind of the first.
	Parts        []promptPart
	TailTokens   int
	OutputTokens int
	// BurstFactor multiplies the arrival rate for BurstLength in each BurstInterval.
	BurstFactor   float64
	BurstLength   time.Duration
	BurstInterval time.Duration
	// HotBursts makes about half of the requests in a burst share one longest prefix.
	HotBursts bool
}

// Agroprecios publishes bulletins: short prompts from shared templates, in bursts.
func Agroprecios() *Site {
	return &Site{
		Name: "agroprecios", Runners: 12, Slots: 16, PrefillRate: 4000,
		TokenTime: 30 * time.Millisecond, CacheTokens: 8000,
		Customers: []customer{
			{"mayorista", 0.4, 4}, {"exportadora", 0.3, 4}, {"cooperativa", 0.1, 4},
			{"distribuidora", 0.1, 4}, {"ministerio", 0.1, 7},
		},
		Parts:      []promptPart{{"template", 30, 500}, {"bulletin", 150, 300}},
		TailTokens: 100, OutputTokens: 120,
		BurstFactor: 1.6, BurstLength: 10 * time.Second, BurstInterval: time.Minute, HotBursts: true,
	}
}

// Vazduh drafts logbook summaries: long prompts that share rules and a pilot's logbook.
func Vazduh() *Site {
	return &Site{
		Name: "vazduh", Runners: 18, Slots: 8, PrefillRate: 8000,
		TokenTime: 35 * time.Millisecond, CacheTokens: 40000,
		Customers: []customer{
			{"academy", 0.35, 4}, {"airline", 0.35, 4}, {"club", 0.1, 4},
			{"examiners", 0.1, 7}, {"school", 0.1, 4},
		},
		Parts:      []promptPart{{"rules", 12, 4000}, {"logbook", 200, 2000}},
		TailTokens: 200, OutputTokens: 200,
		BurstFactor: 1.3, BurstLength: time.Minute, BurstInterval: 3 * time.Minute,
	}
}

// withPreamble returns a copy of the site whose prompts all start with the same text.
func (s *Site) withPreamble() *Site {
	changed := *s
	changed.Parts = append([]promptPart{{"preamble", 1, preambleTokens}}, s.Parts...)
	return &changed
}

// draw returns a random request.
func (s *Site) draw(random *rand.Rand, now time.Time) *request {
	c := s.customer(random)
	r := &request{organisation: c.name, priority: c.priority, arrived: now}
	r.outputTokens = s.OutputTokens/2 + random.IntN(s.OutputTokens)
	tokens := 0
	longestPrefix := s.longestPrefix(random, now)
	for level, p := range s.Parts {
		kind := uint64(longestPrefix % p.kinds)
		for end := tokens + p.tokens; tokens < end; {
			tokens = min(tokens+blockTokens, end)
			r.prefixes = append(r.prefixes, hashOf(uint64(level)<<32+uint64(tokens), kind))
			r.prefixTokens = append(r.prefixTokens, tokens)
		}
	}
	r.promptTokens = tokens + s.TailTokens
	return r
}

// longestPrefix selects the kind of the longest prefix. Kinds with low numbers are more frequent.
// With HotBursts, about half of the requests of a burst use the same kind, another one each time.
func (s *Site) longestPrefix(random *rand.Rand, now time.Time) int {
	kinds := s.Parts[len(s.Parts)-1].kinds
	elapsed := now.Sub(epoch)
	point := random.Float64()
	if s.HotBursts && elapsed%s.BurstInterval < s.BurstLength && random.IntN(2) == 0 {
		return int(elapsed/s.BurstInterval) % kinds
	}
	return int(point * point * float64(kinds))
}

func (s *Site) customer(random *rand.Rand) customer {
	point := random.Float64()
	for _, c := range s.Customers {
		point -= c.share
		if point < 0 {
			return c
		}
	}
	return s.Customers[0]
}

// rate returns the factor on the mean arrival rate. It is below 1 between bursts, so that
// bursts do not change the mean.
func (s *Site) rate(elapsed time.Duration) float64 {
	burstPart := s.BurstLength.Seconds() / s.BurstInterval.Seconds()
	if elapsed%s.BurstInterval < s.BurstLength {
		return s.BurstFactor
	}
	return (1 - s.BurstFactor*burstPart) / (1 - burstPart)
}

func hashOf(level, kind uint64) uint64 {
	x := (level+1)*0x9e3779b97f4a7c15 ^ (kind+1)*0xbf58476d1ce4e5b9
	x ^= x >> 29
	return x * 0x94d049bb133111eb
}

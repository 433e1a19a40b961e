package policybench

import (
	"math/rand/v2"
	"time"
)

// blockTokens is the length after which a prefix is told apart.
const blockTokens = 500

// preambleTokens is the length of a text that all requests share.
const preambleTokens = 1500

// request is one caller's order.
type request struct {
	organisation string
	priority     int
	prefixes     []uint64
	prefixTokens []int
	promptTokens int
	outputTokens int
	arrived      time.Time
	// generated is the length of the answer that has been delivered.
	generated int
	decoding  time.Time
	// prefilled: some engine has computed the whole prompt once.
	prefilled bool
	first     time.Duration
	hasFirst  bool
	excluded  []string
}

// ownTokens is the length that a prefix adds to the next shorter one.
func (r *request) ownTokens(level int) int {
	if level == 0 {
		return r.prefixTokens[0]
	}
	return r.prefixTokens[level] - r.prefixTokens[level-1]
}

// contextTokens is what has to be in the KV cache before the next token.
func (r *request) contextTokens() int { return r.promptTokens + r.generated }

// part is one kind of prefix in a site's prompts.
type part struct {
	name   string
	kinds  int
	tokens int
}

// customer is an organisation's share of the requests.
type customer struct {
	name     string
	share    float64
	priority int
}

// Site is one user's size: runners, engines and requests.
type Site struct {
	Name        string
	Runners     int
	Slots       int
	PrefillRate float64 // tokens a second
	TokenTime   time.Duration
	CacheTokens int
	Customers   []customer
	// Parts nest: each kind of the second belongs to one of the first.
	Parts        []part
	TailTokens   int
	OutputTokens int
	// Burst multiplies the arrivals for BurstLength in each BurstEvery.
	Burst       float64
	BurstLength time.Duration
	BurstEvery  time.Duration
	// HotBursts: half of a burst's requests share one prefix.
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
		Parts:      []part{{"template", 30, 500}, {"bulletin", 150, 300}},
		TailTokens: 100, OutputTokens: 120,
		Burst: 1.6, BurstLength: 10 * time.Second, BurstEvery: time.Minute, HotBursts: true,
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
		Parts:      []part{{"rules", 12, 4000}, {"logbook", 200, 2000}},
		TailTokens: 200, OutputTokens: 200,
		Burst: 1.3, BurstLength: time.Minute, BurstEvery: 3 * time.Minute,
	}
}

// withPreamble puts a text before each prompt that all requests share.
func (s *Site) withPreamble() *Site {
	changed := *s
	changed.Parts = append([]part{{"preamble", 1, preambleTokens}}, s.Parts...)
	return &changed
}

// draw makes one request.
func (s *Site) draw(random *rand.Rand, now time.Time) *request {
	c := s.customer(random)
	r := &request{organisation: c.name, priority: c.priority, arrived: now}
	r.outputTokens = s.OutputTokens/2 + random.IntN(s.OutputTokens)
	tokens := 0
	finest := s.finest(random, now)
	for level, p := range s.Parts {
		kind := uint64(finest % p.kinds)
		for end := tokens + p.tokens; tokens < end; {
			tokens = min(tokens+blockTokens, end)
			r.prefixes = append(r.prefixes, hashOf(uint64(level)<<32+uint64(tokens), kind))
			r.prefixTokens = append(r.prefixTokens, tokens)
		}
	}
	r.promptTokens = tokens + s.TailTokens
	return r
}

// finest draws the longest prefix: some are asked for more often than others, and in a
// burst half of the requests ask for the same one.
func (s *Site) finest(random *rand.Rand, now time.Time) int {
	kinds := s.Parts[len(s.Parts)-1].kinds
	elapsed := now.Sub(epoch)
	point := random.Float64()
	if s.HotBursts && elapsed%s.BurstEvery < s.BurstLength && random.IntN(2) == 0 {
		return int(elapsed/s.BurstEvery) % kinds
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

// rate multiplies the mean arrivals, so that bursts leave the mean as it is.
func (s *Site) rate(elapsed time.Duration) float64 {
	burstPart := s.BurstLength.Seconds() / s.BurstEvery.Seconds()
	if elapsed%s.BurstEvery < s.BurstLength {
		return s.Burst
	}
	return (1 - s.Burst*burstPart) / (1 - burstPart)
}

func hashOf(level, kind uint64) uint64 {
	x := (level+1)*0x9e3779b97f4a7c15 ^ (kind+1)*0xbf58476d1ce4e5b9
	x ^= x >> 29
	return x * 0x94d049bb133111eb
}

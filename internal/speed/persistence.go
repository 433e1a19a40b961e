package speed

import (
	"math"
	"time"
)

const (
	// firstAge is the upper bound of the first class of ages; that of each further one is twice as high.
	firstAge = 50 * time.Millisecond
	// ageClasses is the number of classes; the last one reaches 25.6 s.
	ageClasses = 10
	// assumedHalfLife is the age at which half of a statement is left, as long as nothing was learnt.
	assumedHalfLife = 400 * time.Millisecond
	// assumedWeight is the weight of what is assumed, as the square of a logarithm: that of about four statements of
	// twice the usual time.
	assumedWeight = 2.0
	// persistenceDecay is the factor by which earlier evidence loses weight with each statement that has some.
	persistenceDecay = 0.99
)

// Persistence learns how much of a statement of momentary slowness is left after a time. Statements are taken as the
// logarithms of the slowness. The share that is left at an age is the regression of later statements on earlier ones;
// where there is little evidence, it is the square of the share that is left at half the age, as in an exponential
// decay. The zero value has learnt nothing.
type Persistence struct {
	classes [ageClasses]evidence
	// left is the share at the upper bound of each class, not increasing; zero before the first evidence.
	left  [ageClasses]float64
	ready bool
}

// evidence sums up pairs of statements of the same endpoint.
type evidence struct {
	// products sums the products of the earlier and the later one, squares those of the earlier one with itself.
	products, squares float64
}

// Observe records that a statement with a logarithm was followed by another one after a time.
func (p *Persistence) Observe(earlier, later float64, after time.Duration) {
	if earlier == 0 || after < 0 {
		return
	}
	c := &p.classes[classOf(after)]
	c.products = c.products*persistenceDecay + earlier*later
	c.squares = c.squares*persistenceDecay + earlier*earlier
	p.update()
}

// update works out the shares again.
func (p *Persistence) update() {
	assumed := math.Exp2(-float64(firstAge) / float64(assumedHalfLife))
	for i, c := range p.classes {
		left := (c.products + assumedWeight*assumed) / (c.squares + assumedWeight)
		before := 1.0
		if i > 0 {
			before = p.left[i-1]
		}
		p.left[i] = min(max(left, 0), before)
		assumed = p.left[i] * p.left[i]
	}
	p.ready = true
}

// Left returns the share, from 0 to 1, of the logarithm of a statement that is left after a time.
func (p *Persistence) Left(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if !p.ready {
		p.update()
	}
	class := classOf(age)
	upper := float64(firstAge << class)
	if class == 0 {
		return 1 - (1-p.left[0])*float64(age)/upper
	}
	if age > firstAge<<(ageClasses-1) {
		return 0
	}
	part := (float64(age) - upper/2) / (upper / 2)
	return p.left[class-1] + (p.left[class]-p.left[class-1])*part
}

// classOf returns the class of an age.
func classOf(age time.Duration) int {
	class := 0
	for class < ageClasses-1 && age > firstAge<<class {
		class++
	}
	return class
}

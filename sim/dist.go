package sim

import (
	"math"
	"math/rand/v2"
)

// lognormal draws a value around 1 (its median) whose logarithm has a standard deviation.
func lognormal(rng *rand.Rand, sigma float64) float64 { return math.Exp(sigma * rng.NormFloat64()) }

// Draw draws a value from the distribution.
func (d Dist) Draw(rng *rand.Rand) float64 {
	switch d.Shape {
	case Exponential:
		return d.Mean * rng.ExpFloat64()
	case Lognormal:
		sigma2 := math.Log(1 + d.Spread*d.Spread)
		return d.Mean * math.Exp(math.Sqrt(sigma2)*rng.NormFloat64()-sigma2/2)
	case Pareto:
		a := max(d.Spread, 1.05)
		least := d.Mean * (a - 1) / a
		return least / math.Pow(1-rng.Float64(), 1/a)
	}
	return d.Mean
}

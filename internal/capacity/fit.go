package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// ErrNoFit tells that a quantity has no slope: fewer than two sizes, or a figure that is not above 0.
var ErrNoFit = errors.New("no slope: fewer than two sizes, or a figure that is not above 0")

// Fit is a power law, value = Factor * size^Exponent, fitted by least squares on the log-log scale.
type Fit struct {
	Exponent float64 `json:"exponent"`
	Factor   float64 `json:"factor"`
	// standard deviation of the logarithm round the line; of two points it is 0
	Residual float64 `json:"residual"`
}

// FitPower fits one.
func FitPower(sizes, values []float64) (Fit, error) {
	if len(sizes) < 2 || len(sizes) != len(values) {
		return Fit{}, ErrNoFit
	}
	logSizes, logValues := make([]float64, len(sizes)), make([]float64, len(sizes))
	for k := range sizes {
		if sizes[k] <= 0 || values[k] <= 0 {
			return Fit{}, ErrNoFit
		}
		logSizes[k], logValues[k] = math.Log(sizes[k]), math.Log(values[k])
	}
	alpha, beta := stat.LinearRegression(logSizes, logValues, nil, false)
	squares := 0.0
	for k := range logSizes {
		off := logValues[k] - alpha - beta*logSizes[k]
		squares += off * off
	}
	return Fit{Exponent: beta, Factor: math.Exp(alpha), Residual: math.Sqrt(squares / float64(len(sizes)))}, nil
}

// At gives the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Factor * math.Pow(size, f.Exponent) }

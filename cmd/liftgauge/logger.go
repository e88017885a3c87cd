package main

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log sampling: in each samplePeriod the first sampleFirst lines with the same message are written, then every sampleThereafter-th.
const (
	samplePeriod     = time.Second
	sampleFirst      = 20
	sampleThereafter = 100
)

// newLogger returns a logger that writes one JSON object per line.
func newLogger(to io.Writer, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: found %q, wanted debug, info, warn or error", level)
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	encoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), zapcore.Lock(zapcore.AddSync(to)), minLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, samplePeriod, sampleFirst, sampleThereafter)), nil
}

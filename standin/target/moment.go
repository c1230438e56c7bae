package target

import (
	"fmt"
	"time"
)

// Points in time are kept as text in UTC, so that the engine's comparisons and
// date functions work on them.
const (
	storedTimestamp   = "2006-01-02 15:04:05.000000"
	storedTimestamptz = "2006-01-02 15:04:05.000000+00:00"
	storedDate        = "2006-01-02"
	sentTimestamp     = "2006-01-02 15:04:05.999999"
	sentTimestamptz   = "2006-01-02 15:04:05.999999+00"
)

// momentLayouts are the texts accepted as points in time.
var momentLayouts = []string{
	"2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999-07",
	"2006-01-02 15:04:05.999999999",
	"2006-01-02T15:04:05.999999999Z07:00",
	"2006-01-02T15:04:05.999999999",
	"2006-01-02",
}

// epoch is the origin of the protocol's binary dates and timestamps.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

const day = 24 * time.Hour

func parseMoment(text string) (time.Time, error) {
	for _, layout := range momentLayouts {
		if t, err := time.Parse(layout, text); err == nil {
			return t.UTC(), nil
		}
	}
	return time.Time{}, fmt.Errorf("invalid date or time: %q", text)
}

// micros returns the microseconds from epoch to t, which may be far apart.
func micros(t time.Time) int64 { return t.UnixMicro() - epoch.UnixMicro() }

func fromMicros(n int64) time.Time { return time.UnixMicro(epoch.UnixMicro() + n).UTC() }

func fromDays(n int32) time.Time { return epoch.AddDate(0, 0, int(n)) }

// days returns the days from epoch to t.
func days(t time.Time) int32 {
	return int32((t.Unix() - epoch.Unix()) / int64(day/time.Second))
}

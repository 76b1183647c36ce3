package wire

import (
	"encoding/json"
	"fmt"
)

// MaxReportedCallers bounds a CallerReport: a node names no more callers, and a
// leader reads no more.
const MaxReportedCallers = 32

// CallerDemandList is a list of demands that is encoded without the names of the
// fields: each demand is the array of Caller, Class, RequestsPerSecond and, if
// present, Answered. With 32 callers every two seconds the names would be more
// than half of what a node sends for its callers.
type CallerDemandList []CallerDemand

// MarshalJSON implements json.Marshaler.
func (l CallerDemandList) MarshalJSON() ([]byte, error) {
	out := make([][]any, 0, len(l))
	for _, d := range l {
		fields := []any{d.Caller, d.Class, d.RequestsPerSecond}
		if d.AnsweredReport != nil {
			fields = append(fields, *d.AnsweredReport)
		}
		out = append(out, fields)
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler. Further fields of a later version are
// ignored.
func (l *CallerDemandList) UnmarshalJSON(data []byte) error {
	var rows [][]json.RawMessage
	if err := json.Unmarshal(data, &rows); err != nil {
		return err
	}
	out := make(CallerDemandList, 0, len(rows))
	for _, fields := range rows {
		var d CallerDemand
		to := []any{&d.Caller, &d.Class, &d.RequestsPerSecond, &d.AnsweredReport}
		if len(fields) < len(to)-1 {
			return fmt.Errorf("demand of a caller with %d fields", len(fields))
		}
		for i := range min(len(fields), len(to)) {
			if err := json.Unmarshal(fields[i], to[i]); err != nil {
				return fmt.Errorf("field %d of a caller's demand: %w", i, err)
			}
		}
		out = append(out, d)
	}
	*l = out
	return nil
}

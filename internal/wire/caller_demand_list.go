package wire

import (
	"encoding/json"
	"fmt"
)

// MaxReportedCallers is the maximum number of callers that a node reports in a
// CallerReport, and that a leader reads from it.
const MaxReportedCallers = 32

// CallerDemandList is a list of demands that is encoded without field names: each
// demand is an array of Caller, Class, RequestsPerSecond and, if present,
// AnsweredReport. With 32 callers every two seconds, field names would be more than
// half of the bytes that a node sends for its callers.
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

// UnmarshalJSON implements json.Unmarshaler. It ignores additional fields, which a
// later software version may send.
func (l *CallerDemandList) UnmarshalJSON(data []byte) error {
	var demands [][]json.RawMessage
	if err := json.Unmarshal(data, &demands); err != nil {
		return err
	}
	out := make(CallerDemandList, 0, len(demands))
	for _, fields := range demands {
		var d CallerDemand
		destinations := []any{&d.Caller, &d.Class, &d.RequestsPerSecond, &d.AnsweredReport}
		if len(fields) < len(destinations)-1 {
			return fmt.Errorf("caller demand has only %d fields", len(fields))
		}
		for i := range min(len(fields), len(destinations)) {
			if err := json.Unmarshal(fields[i], destinations[i]); err != nil {
				return fmt.Errorf("field %d of a caller demand: %w", i, err)
			}
		}
		out = append(out, d)
	}
	*l = out
	return nil
}

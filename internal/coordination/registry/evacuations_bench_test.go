package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// BenchmarkEvacuationBytes reports the bytes of a log entry's command and of the published item of
// an evacuation, for names of usual and of the greatest length.
func BenchmarkEvacuationBytes(b *testing.B) {
	for _, length := range []int{8, maxDomainBytes} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			domain := message.FailureDomain(strings.Repeat("d", length))
			command, err := json.Marshal(message.Command{Evacuation: &message.Evacuation{Domain: domain, Active: true}})
			if err != nil {
				b.Fatal(err)
			}
			item, err := json.Marshal(message.Item{Name: message.ItemEvacuation + string(domain), Version: 100000, Text: "true"})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(command)), "B/command")
			b.ReportMetric(float64(len(item)), "B/item")
		})
	}
}

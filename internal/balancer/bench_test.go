package balancer

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the choice for a prompt of two shared parts among the endpoints of a large
// fleet, some of which hold the document.
func BenchmarkChoose(b *testing.B) {
	for _, endpoints := range []int{16, 120, 3000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			table := newTestTable(endpoints)
			for i := range 1000 {
				r := prompt(fmt.Sprint("doc", i%200), 5000, 1000, i)
				c, _ := table.Choose(epoch, uint64(i), r)
				a := table.Begin(epoch, r, c)
				a.FirstEvent(epoch)
				a.End(epoch, ResultOK)
			}
			r := prompt("doc7", 5000, 1000, 5000)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Choose(epoch, uint64(i), r)
			}
		})
	}
}

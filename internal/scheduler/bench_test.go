package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// loadedSnapshot returns a snapshot of a nearly full domain with guarantees and
// waiting jobs.
func loadedSnapshot(workers, waiting int) *structs.Snapshot {
	accounts := make([]structs.Account, 4)
	for i := range accounts {
		accounts[i] = structs.Account{Name: fmt.Sprintf("a%d", i), Guarantee: []structs.Guarantee{
			{Shape: shape(1, 8, structs.AdjacentWorker), Count: max(1, workers/8)}, {Shape: shape(1, 4, structs.AdjacentWorker), Count: max(1, workers/16)}}}
	}
	s := newSnapshot(workers, accounts...)
	for w := range workers {
		for k, mask := range []int{0x0f, 0x30, 0x40} {
			if (w+k)%7 == 0 {
				continue
			}
			sh := shape(1, []int{4, 2, 1}[k], structs.AdjacentWorker)
			addRunning(s, fmt.Sprintf("g%05d.%d", w, k), fmt.Sprintf("a%d", (w+k)%4), sh, nil, w, mask)
		}
	}
	shapes := []structs.Shape{shape(1, 8, structs.AdjacentWorker), shape(2, 8, structs.AdjacentRack), shape(1, 4, structs.AdjacentWorker), shape(1, 2, structs.AdjacentWorker), shape(3, 8, structs.AdjacentRack)}
	for i := range waiting {
		n := (i * 7) % len(shapes)
		addWaiting(s, fmt.Sprintf("a%d.%06d", i*4/max(1, waiting), i), fmt.Sprintf("a%d", i*4/max(1, waiting)), shapes[n], func(j *structs.WaitingJob) {
			j.Kind = fmt.Sprintf("k%d", n)
			j.Submitted = s.Now - time.Duration(i)*time.Second
		})
	}
	return s
}

func BenchmarkSchedule(b *testing.B) {
	for _, workers := range []int{11, 42, 200, 3400} {
		for _, waiting := range []int{0, 100, 1000, 5000} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				s := loadedSnapshot(workers, waiting)
				b.ReportAllocs()
				for b.Loop() {
					Schedule(s)
				}
			})
		}
	}
}

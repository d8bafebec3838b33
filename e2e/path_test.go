package e2e

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
)

const (
	// phaseTime is the duration of each phase of BenchmarkPath.
	phaseTime = 4 * time.Second
	// concurrentCallers is the number of concurrent callers in the throughput phases.
	concurrentCallers = 64
)

// BenchmarkPath measures the overhead of entry instance and agent for calls to a plain
// service that responds immediately: added latency with one caller, throughput with
// many, and CPU time and resident memory of the processes. One iteration takes longer
// than the default benchtime, so it runs once.
func BenchmarkPath(b *testing.B) {
	d := deploy.Start(b, deploy.Spec{
		Config: config(1), Engines: engines(2), Plains: 1, PlainTeam: "oak", Entries: 1, PlainArgs: []string{"--time", "0s"},
	})
	directURL := "http://" + d.Plains[0].Addr.String() + "/balance"
	pathURL := "http://" + d.Entries[0].Addr.String() + "/v1/call/ledger/balance"
	reportIdle(b, d)
	for range b.N {
		directLatency := measureCalls(b, directURL, 1)
		pathLatency := measureCalls(b, pathURL, 1)
		reportAddedLatency(b, pathLatency, directLatency, 50, "p50")
		reportAddedLatency(b, pathLatency, directLatency, 99, "p99")
		b.ReportMetric(float64(measureCalls(b, directURL, concurrentCallers).TotalCount())/phaseTime.Seconds(), "direct_req/s")
		entry, agent := cpuTime(b, d.Entries[0].Pid()), cpuTime(b, d.Plains[0].Agent.Pid())
		n := float64(measureCalls(b, pathURL, concurrentCallers).TotalCount())
		b.ReportMetric(n/phaseTime.Seconds(), "path_req/s")
		b.ReportMetric(float64((cpuTime(b, d.Entries[0].Pid())-entry).Microseconds())/n, "entry_cpu_us/req")
		b.ReportMetric(float64((cpuTime(b, d.Plains[0].Agent.Pid())-agent).Microseconds())/n, "agent_cpu_us/req")
	}
	b.ReportMetric(residentMiB(b, d.Entries[0].Pid()), "entry_MiB")
	b.ReportMetric(residentMiB(b, d.Plains[0].Agent.Pid()), "agent_MiB")
	b.ReportMetric(residentMiB(b, d.Controls[0].Pid()), "control_MiB")
	b.ReportMetric(0, "ns/op")
}

// idleTime is how long the idle CPU usage is measured.
const idleTime = 5 * time.Second

// reportIdle reports the idle CPU usage of one process of each role, in percent of
// a core.
func reportIdle(b *testing.B, d *deploy.Deployment) {
	b.Helper()
	pids := map[string]int{
		"entry_idle_%": d.Entries[0].Pid(), "agent_idle_%": d.Engines[0].Agent.Pid(),
		"leader_idle_%": d.Controls[d.AwaitLeader()].Pid(),
	}
	before := make(map[string]time.Duration)
	for name, pid := range pids {
		before[name] = cpuTime(b, pid)
	}
	time.Sleep(idleTime)
	for name, pid := range pids {
		used := cpuTime(b, pid) - before[name]
		b.ReportMetric(100*used.Seconds()/idleTime.Seconds(), name)
	}
}

// cpuTime returns the CPU time used by a process, from /proc/PID/stat.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	assert.NilError(b, err)
	// The command name may contain spaces, so the fields are counted from its closing
	// parenthesis: utime and stime are the 12th and 13th, in ticks of 10 ms.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		assert.NilError(b, err)
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// reportAddedLatency reports by how much path exceeds direct at a percentile, in
// microseconds.
func reportAddedLatency(b *testing.B, path, direct *hdrhistogram.Histogram, q float64, name string) {
	b.ReportMetric(float64(path.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), "added_"+name+"_us")
}

// measureCalls runs n concurrent callers for phaseTime, each sending one call after another,
// and returns the latencies in microseconds.
func measureCalls(b *testing.B, url string, n int) *hdrhistogram.Histogram {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var failed atomic.Int64
	total := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var wg sync.WaitGroup
	end := time.Now().Add(phaseTime)
	for range n {
		wg.Go(func() {
			h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for time.Now().Before(end) {
				start := time.Now()
				resp, err := client.Get(url)
				if err != nil {
					failed.Add(1)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || len(body) == 0 {
					failed.Add(1)
					continue
				}
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			total.Merge(h)
			mu.Unlock()
		})
	}
	wg.Wait()
	assert.Equal(b, failed.Load(), int64(0), "calls of %s failed", url)
	return total
}

// residentMiB returns the resident memory of a process.
func residentMiB(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	assert.NilError(b, err)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			assert.NilError(b, err)
			return kib / 1024
		}
	}
	b.Fatal("no VmRSS in /proc/PID/status")
	return 0
}

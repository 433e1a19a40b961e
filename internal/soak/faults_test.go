package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/standin"
)

// faultInjector injects faults, some of them concurrently, until its context ends.
type faultInjector struct {
	env *environment
	wg  sync.WaitGroup
}

// stopTimeout is how long a graceful stop may take.
const stopTimeout = 20 * time.Second

func (f *faultInjector) run(ctx context.Context) {
	kinds := []func(ctx context.Context){
		f.crash, f.crash, f.pause, f.pause, f.stop, f.outage, f.loseAnswers, f.killEndpoint,
		f.notice, f.notice, f.noticeDataCentre,
	}
	for ctx.Err() == nil {
		inject := kinds[f.env.randN(uint64(len(kinds)))]
		f.wg.Go(func() { inject(ctx) })
		f.env.sleep(ctx, 20*time.Millisecond+f.env.randDuration(60*time.Millisecond))
	}
	f.wg.Wait()
}

// replaceMu is held while a node is replaced, so that two replacements never overlap.
var replaceMu sync.Mutex

// crash stops a daemon abruptly, at any point of its work, and starts a new one.
func (f *faultInjector) crash(context.Context) {
	replaceMu.Lock()
	defer replaceMu.Unlock()
	i := int(f.env.randN(nodeCount))
	old := f.env.nodeList()[i]
	close(old.crashed)
	f.env.report.countFault(faultNodeCrashed)
	time.Sleep(f.env.randDuration(30 * time.Millisecond))
	f.env.startNode(i)
}

func (f *faultInjector) pause(context.Context) {
	n := f.env.anyNode()
	f.env.report.countFault(faultNodePaused)
	// Half of the paused daemons are considered dead by the others.
	if f.env.randBool(0.5) {
		f.env.mu.Lock()
		f.env.goneNames[n.writer] = true
		f.env.mu.Unlock()
	}
	n.pause(20*time.Millisecond + f.env.randDuration(280*time.Millisecond))
}

// stop stops a daemon gracefully: its requests in flight must complete.
func (f *faultInjector) stop(context.Context) {
	replaceMu.Lock()
	defer replaceMu.Unlock()
	i := int(f.env.randN(nodeCount))
	old := f.env.nodeList()[i]
	f.env.report.countFault(faultNodeStopped)
	old.stopped.Store(true)
	f.env.setStopping(old, true)
	f.env.startNode(i)
	f.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		old.service.StopAccepting()
		err := old.service.Drain(ctx)
		f.env.setStopping(old, false)
		f.env.report.check(guaranteeGracefulStop, err == nil, "%s has requests in flight after %s", old.writer, stopTimeout)
	})
}

func (f *faultInjector) outage(context.Context) {
	f.env.report.countFault(faultOutage)
	f.env.store.SetFaults(standin.StoreFaults{Outage: true})
	time.Sleep(20*time.Millisecond + f.env.randDuration(100*time.Millisecond))
	f.env.store.SetFaults(standin.StoreFaults{})
}

func (f *faultInjector) loseAnswers(context.Context) {
	f.env.report.countFault(faultLostAnswer)
	f.env.store.SetFaults(standin.StoreFaults{LoseAnswers: 1 + int(f.env.randN(3))})
}

func (f *faultInjector) anyEndpoint() *endpoint {
	all := f.env.configuration.Endpoints
	return f.env.endpointAt(all[f.env.randN(uint64(len(all)))].Address)
}

// killEndpoint makes an endpoint unavailable for a while, without notice.
func (f *faultInjector) killEndpoint(context.Context) {
	e := f.anyEndpoint()
	f.env.report.countFault(faultEndpointDied)
	e.setDead(true)
	time.Sleep(f.env.randDuration(60 * time.Millisecond))
	e.setDead(false)
}

func (f *faultInjector) notice(context.Context) { f.reclaimHost(f.anyEndpoint()) }

func (f *faultInjector) noticeDataCentre(context.Context) {
	dataCentre := fmt.Sprintf("dc-%d", f.env.randN(dataCentres))
	var wg sync.WaitGroup
	for _, h := range f.env.configuration.Hosts {
		if h.DataCentre != dataCentre {
			continue
		}
		for _, e := range f.env.endpoints {
			if e.host == h.Name {
				wg.Go(func() { f.reclaimHost(e) })
			}
		}
	}
	wg.Wait()
}

// reclaimHost announces that an endpoint's host is reclaimed, stops the endpoint at the deadline,
// and later starts the host's next instance. It does nothing if the host is being reclaimed already.
func (f *faultInjector) reclaimHost(e *endpoint) {
	instance, ok := f.env.beginReclaim(e.host)
	if !ok {
		return
	}
	defer f.env.endReclaim(e.host)
	f.env.report.countFault(faultNotice)
	notice := 150*time.Millisecond + f.env.randDuration(300*time.Millisecond)
	deadline := time.Now().Add(notice)
	f.informAll(fleet.HostState{Host: e.host, Instance: instance, Phase: fleet.PhaseLeaving, Deadline: deadline})
	time.Sleep(time.Until(deadline))
	e.setDead(true)
	f.informAll(fleet.HostState{Host: e.host, Instance: instance, Phase: fleet.PhaseGone})
	time.Sleep(f.env.randDuration(100 * time.Millisecond))
	e.setDead(false)
	for _, n := range f.env.listeners() {
		n.dropNotice(e.host, instance)
	}
	f.informAll(fleet.HostState{Host: e.host, Instance: f.env.nextInstance(e.host), Phase: fleet.PhaseLive})
}

// informAll informs each daemon of a host's state after a random delay. It returns once all are
// informed or, if the host is leaving, without waiting.
func (f *faultInjector) informAll(s fleet.HostState) {
	var wg sync.WaitGroup
	for _, n := range f.env.listeners() {
		delay := f.env.randDuration(20 * time.Millisecond)
		wg.Go(func() {
			time.Sleep(delay)
			n.observeHostState(s)
		})
	}
	if s.Phase != fleet.PhaseLeaving {
		wg.Wait()
	}
}

func (env *environment) beginReclaim(host string) (string, bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.goneNames[host] {
		return "", false
	}
	env.goneNames[host] = true
	return fmt.Sprintf("%s-%d", host, env.instances[host]), true
}

func (env *environment) nextInstance(host string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.instances[host]++
	return fmt.Sprintf("%s-%d", host, env.instances[host])
}

func (env *environment) endReclaim(host string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.goneNames, host)
}

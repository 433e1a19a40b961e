package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/standin"
)

// driver provokes faults one after the other and several at once until its context ends.
type driver struct {
	w  *world
	wg sync.WaitGroup
}

// stopTimeout is how long a graceful stop may take.
const stopTimeout = 20 * time.Second

func (d *driver) run(ctx context.Context) {
	kinds := []func(ctx context.Context){
		d.crash, d.crash, d.pause, d.pause, d.stop, d.outage, d.loseAnswers, d.die, d.notice, d.notice, d.noticeDataCentre,
	}
	for ctx.Err() == nil {
		provoke := kinds[d.w.below(uint64(len(kinds)))]
		d.wg.Go(func() { provoke(ctx) })
		d.w.sleep(ctx, 20*time.Millisecond+d.w.upTo(60*time.Millisecond))
	}
	d.wg.Wait()
}

// replaceable locks one node against two replacements at once.
var replacing sync.Mutex

// crash ends a daemon at whatever it is doing and starts it anew.
func (d *driver) crash(context.Context) {
	replacing.Lock()
	defer replacing.Unlock()
	i := int(d.w.below(nodeCount))
	old := d.w.nodeList()[i]
	close(old.crashed)
	d.w.report.provoked(faultNodeCrashed)
	time.Sleep(d.w.upTo(30 * time.Millisecond))
	d.w.startNode(i)
}

func (d *driver) pause(context.Context) {
	n := d.w.anyNode()
	d.w.report.provoked(faultNodePaused)
	// Half of the paused are taken for dead by the others.
	if d.w.chance(0.5) {
		d.w.mu.Lock()
		d.w.goneNames[n.writer] = true
		d.w.mu.Unlock()
	}
	n.pause(20*time.Millisecond + d.w.upTo(280*time.Millisecond))
}

// stop stops a daemon gracefully; what it has in flight must end by itself.
func (d *driver) stop(context.Context) {
	replacing.Lock()
	defer replacing.Unlock()
	i := int(d.w.below(nodeCount))
	old := d.w.nodeList()[i]
	d.w.report.provoked(faultNodeStopped)
	old.stopped.Store(true)
	d.w.setStopping(old, true)
	d.w.startNode(i)
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		old.service.StopAccepting()
		err := old.service.Drain(ctx)
		d.w.setStopping(old, false)
		d.w.report.check(promiseStop, err == nil, "%s has requests in flight after %s", old.writer, stopTimeout)
	})
}

func (d *driver) outage(context.Context) {
	d.w.report.provoked(faultOutage)
	d.w.store.SetFaults(standin.StoreFaults{Outage: true})
	time.Sleep(20*time.Millisecond + d.w.upTo(100*time.Millisecond))
	d.w.store.SetFaults(standin.StoreFaults{})
}

func (d *driver) loseAnswers(context.Context) {
	d.w.report.provoked(faultLostAnswer)
	d.w.store.SetFaults(standin.StoreFaults{LoseAnswers: 1 + int(d.w.below(3))})
}

func (d *driver) anyEndpoint() *endpoint {
	all := d.w.configuration.Endpoints
	return d.w.endpointAt(all[d.w.below(uint64(len(all)))].Address)
}

// die ends an endpoint without a notice, for a while.
func (d *driver) die(context.Context) {
	e := d.anyEndpoint()
	d.w.report.provoked(faultEndpointDied)
	e.setDead(true)
	time.Sleep(d.w.upTo(60 * time.Millisecond))
	e.setDead(false)
}

func (d *driver) notice(context.Context) { d.take(d.anyEndpoint()) }

func (d *driver) noticeDataCentre(context.Context) {
	dataCentre := fmt.Sprintf("dc-%d", d.w.below(dataCentres))
	var wg sync.WaitGroup
	for _, h := range d.w.configuration.Hosts {
		if h.DataCentre != dataCentre {
			continue
		}
		for _, e := range d.w.endpoints {
			if e.host == h.Name {
				wg.Go(func() { d.take(e) })
			}
		}
	}
	wg.Wait()
}

// take announces the end of an endpoint's host, ends it, and starts the next instance.
func (d *driver) take(e *endpoint) {
	instance, ok := d.w.beginTake(e.host)
	if !ok {
		return
	}
	defer d.w.endTake(e.host)
	d.w.report.provoked(faultNotice)
	notice := 150*time.Millisecond + d.w.upTo(300*time.Millisecond)
	deadline := time.Now().Add(notice)
	d.tellAll(fleet.HostState{Host: e.host, Instance: instance, Phase: fleet.PhaseLeaving, Deadline: deadline})
	time.Sleep(time.Until(deadline))
	e.setDead(true)
	d.tellAll(fleet.HostState{Host: e.host, Instance: instance, Phase: fleet.PhaseGone})
	time.Sleep(d.w.upTo(100 * time.Millisecond))
	e.setDead(false)
	for _, n := range d.w.listeners() {
		n.forget(e.host, instance)
	}
	d.tellAll(fleet.HostState{Host: e.host, Instance: d.w.nextInstance(e.host), Phase: fleet.PhaseLive})
}

// tellAll tells each daemon after a delay of its own.
func (d *driver) tellAll(s fleet.HostState) {
	var wg sync.WaitGroup
	for _, n := range d.w.listeners() {
		delay := d.w.upTo(20 * time.Millisecond)
		wg.Go(func() {
			time.Sleep(delay)
			n.learn(s)
		})
	}
	if s.Phase != fleet.PhaseLeaving {
		wg.Wait()
	}
}

func (w *world) beginTake(host string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.goneNames[host] {
		return "", false
	}
	w.goneNames[host] = true
	return fmt.Sprintf("%s-%d", host, w.instances[host]), true
}

func (w *world) nextInstance(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances[host]++
	return fmt.Sprintf("%s-%d", host, w.instances[host])
}

func (w *world) endTake(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.goneNames, host)
}

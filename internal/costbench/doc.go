// Package costbench measures what the capacity and reclaim decisions cost and save. It
// drives the production packages capacity, reclaim and route in virtual time against a
// fake cloud and fake engines, and compares them with baselines and with themselves
// when one mechanism is switched off.
package costbench

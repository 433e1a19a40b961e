// Package costbench measures the cost and the benefit of the capacity and reclaim decisions. It
// runs the production packages capacity, reclaim and route in virtual time against a fake cloud
// and fake engines, and compares them with baselines and with variants in which one mechanism
// is disabled.
package costbench

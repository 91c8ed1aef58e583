package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/internal/platform"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const modelSeats = 3

// seatModel runs the Seats of several VMs step by step on a manual clock.
type seatModel struct {
	standin   *standin.Platform
	now       time.Time
	vms       []*modelVM
	inventory fleet.Inventory
	snapshots []standin.Snapshot
	started   int64
}

// modelVM is a VM and the Seats of the process that runs on it.
type modelVM struct {
	name   string
	seats  *Seats
	paused bool
	// listed is true once the list of VMs has contained the VM. inventory is the list that the process last read.
	listed    bool
	inventory fleet.Inventory
}

func newSeatModel() *seatModel {
	model := &seatModel{standin: standin.New(), now: time.Unix(0, 0)}
	for range 4 {
		model.startVM()
	}
	model.listAll()
	return model
}

func (model *seatModel) startVM() {
	vm := &modelVM{name: fmt.Sprintf("vm%d", model.started)}
	model.vms = append(model.vms, vm)
	model.startProcess(vm)
}

func (model *seatModel) startProcess(vm *modelVM) {
	model.started++
	vm.paused = false
	vm.seats = NewSeats(standin.NewDirect(model.standin), vmOf(vm.name), model.started)
	vm.seats.Count = modelSeats
	vm.seats.Now = func() time.Time { return model.now }
	vm.seats.Random = func() float64 { return 0 }
	vm.seats.Inventory = func() (fleet.Inventory, bool) { return vm.inventory, true }
	vm.seats.Announced = func(seat Seat) bool { return model.announced(vm, seat) }
}

// announced reports whether another running process announces a seat as its own.
func (model *seatModel) announced(listener *modelVM, seat Seat) bool {
	for _, vm := range model.vms {
		if own, _, ok := vm.seats.Own(); vm != listener && !vm.paused && ok && own == seat {
			return true
		}
	}
	return false
}

// list updates the list of VMs: removed VMs disappear from it, and a new VM appears if shown returns true.
func (model *seatModel) list(shown func() bool) {
	model.inventory = fleet.Inventory{Revision: model.inventory.Revision + 1}
	for _, vm := range model.vms {
		vm.listed = vm.listed || shown()
		if vm.listed {
			model.inventory.Entries = append(model.inventory.Entries, vmOf(vm.name))
		}
	}
}

func (model *seatModel) listAll() {
	model.list(func() bool { return true })
	for _, vm := range model.vms {
		vm.inventory = model.inventory
	}
}

func (model *seatModel) drawVM(rt *rapid.T) *modelVM {
	return model.vms[rapid.IntRange(0, len(model.vms)-1).Draw(rt, "vm")]
}

// step delivers the contents of the store to a running process, as its watch does after it has connected, and calls
// Step.
func (model *seatModel) step(vm *modelVM) {
	if vm.paused {
		return
	}
	entries, err := standin.NewDirect(model.standin).List(context.Background(), seatsPrefix)
	if err == nil {
		earliest := vm.seats.earliestClaim
		for _, entry := range entries {
			vm.seats.onChange(platform.Change{Entry: entry})
		}
		vm.seats.onChange(platform.Change{CaughtUp: true})
		if !earliest.IsZero() {
			vm.seats.earliestClaim = earliest
		}
	}
	_ = vm.seats.Step(context.Background())
}

// restore returns the store to an earlier snapshot. The running processes write back the lost records before claimDelay
// has passed.
func (model *seatModel) restore(rt *rapid.T) {
	running := 0
	for _, vm := range model.vms {
		if !vm.paused && !vm.seats.earliestClaim.IsZero() {
			running++
		}
	}
	if running == 0 {
		return
	}
	model.standin.SetDown(false)
	model.standin.LoseAnswers(0)
	for _, vm := range model.vms {
		model.step(vm)
	}
	model.standin.Restore(model.snapshots[rapid.IntRange(0, len(model.snapshots)-1).Draw(rt, "snapshot")])
	for range 2 {
		for _, vm := range model.vms {
			if !vm.paused {
				vm.seats.earliestClaim = model.now.Add(claimDelay)
			}
			model.step(vm)
		}
		model.now = model.now.Add(repairDelay)
	}
}

// check fails if a seat has two holders among the running and paused processes.
func (model *seatModel) check(rt *rapid.T) {
	holders := map[Seat]string{}
	for _, vm := range model.vms {
		seat, _, ok := vm.seats.Own()
		if other, taken := holders[seat]; ok && taken {
			rt.Fatalf("seat %d is held by %s and %s", seat, other, vm.name)
		}
		if ok {
			holders[seat] = vm.name
		}
	}
}

// TestSeatsAgainstOracle guards against a seat with two holders, and against seats that stay free after all faults have
// ended. It applies starts, stops, pauses, outages, lost responses and returns of the store to older contents in random
// order.
func TestSeatsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		model := newSeatModel()
		model.snapshots = append(model.snapshots, model.standin.Snapshot())
		rt.Repeat(map[string]func(*rapid.T){
			"step": func(rt *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
				model.step(model.drawVM(rt))
			},
			"step all": func(*rapid.T) {
				model.now = model.now.Add(claimDelay)
				for _, vm := range model.vms {
					model.step(vm)
				}
			},
			"pause":   func(rt *rapid.T) { model.drawVM(rt).paused = rapid.Bool().Draw(rt, "paused") },
			"restart": func(rt *rapid.T) { model.startProcess(model.drawVM(rt)) },
			"replace": func(rt *rapid.T) {
				index := rapid.IntRange(0, len(model.vms)-1).Draw(rt, "vm")
				model.vms = append(model.vms[:index:index], model.vms[index+1:]...)
				model.startVM()
			},
			"release":  func(rt *rapid.T) { _ = model.drawVM(rt).seats.Release(context.Background()) },
			"list":     func(rt *rapid.T) { model.list(func() bool { return rapid.Bool().Draw(rt, "shown") }) },
			"read":     func(rt *rapid.T) { model.drawVM(rt).inventory = model.inventory },
			"down":     func(rt *rapid.T) { model.standin.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lose":     func(rt *rapid.T) { model.standin.LoseAnswers(rapid.IntRange(0, 2).Draw(rt, "count")) },
			"snapshot": func(*rapid.T) { model.snapshots = append(model.snapshots, model.standin.Snapshot()) },
			"restore":  model.restore,
			"":         model.check,
		})
		model.standin.SetDown(false)
		model.standin.LoseAnswers(0)
		for _, vm := range model.vms {
			if vm.seats.released {
				model.startProcess(vm)
			}
		}
		for range modelSeats + 1 {
			model.startVM()
		}
		model.listAll()
		for range 8 {
			model.now = model.now.Add(claimDelay)
			for _, vm := range model.vms {
				vm.paused = false
				model.step(vm)
				model.check(rt)
			}
		}
		for seat := range Seat(modelSeats) {
			if !model.announced(nil, seat) {
				rt.Fatalf("seat %d stays free with %d processes", seat, len(model.vms))
			}
		}
	})
}

// TestSeatClaimConditions guards against a claim of a seat whose holder may still be running. The seat may be claimed
// only if the holder's VM has disappeared from the list or a later process has started on that VM.
func TestSeatClaimConditions(t *testing.T) {
	held := func(vm string, incarnation int64) seatRecord {
		return seatRecord{VM: fleet.VMID(vm), Address: vm, Incarnation: incarnation, Term: 1, ListRevision: 5}
	}
	tests := []struct {
		name      string
		record    seatRecord
		listed    []string
		revision  int64
		announced bool
		want      bool
	}{
		{"free", seatRecord{}, []string{"vm0"}, 5, false, true},
		{"free, but a live process announces it", seatRecord{}, []string{"vm0"}, 5, true, false},
		{"free, but this VM is not listed", seatRecord{}, nil, 5, false, false},
		{"holder is listed", held("vm1", 1), []string{"vm0", "vm1"}, 6, false, false},
		{"holder is not listed", held("vm1", 1), []string{"vm0"}, 6, false, true},
		{"holder is not listed but announces the seat", held("vm1", 1), []string{"vm0"}, 6, true, false},
		{"list is older than the holder", held("vm1", 1), []string{"vm0"}, 4, false, false},
		{"earlier process of this VM", held("vm0", 1), []string{"vm0"}, 5, false, true},
		{"later process of this VM", held("vm0", 3), []string{"vm0"}, 6, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			model := &seatModel{standin: standin.New(), now: time.Unix(0, 0)}
			model.startVM()
			seats := model.vms[0].seats
			seats.Count, seats.Incarnation = 1, 2
			seats.Announced = func(Seat) bool { return test.announced }
			model.vms[0].inventory.Revision = test.revision
			for _, name := range test.listed {
				model.vms[0].inventory.Entries = append(model.vms[0].inventory.Entries, vmOf(name))
			}
			if err := seats.write(context.Background(), 0, test.record, 0); err != nil {
				t.Fatal(err)
			}
			model.step(model.vms[0])
			model.now = model.now.Add(claimDelay)
			model.step(model.vms[0])
			if _, _, took := seats.Own(); took != test.want {
				t.Errorf("process claims the seat: %v, want %v", took, test.want)
			}
		})
	}
}

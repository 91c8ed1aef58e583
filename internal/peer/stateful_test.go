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

// seatModel runs the seats of several VMs step by step on a manual clock.
type seatModel struct {
	standin   *standin.Platform
	now       time.Time
	vms       []*modelVM
	inventory fleet.Inventory
	snapshots []standin.Snapshot
	started   int64
}

// modelVM is a VM with the process that runs on it.
type modelVM struct {
	name   string
	seats  *Seats
	paused bool
	// listed is true once the list of VMs has shown the VM; reading is what the process last read of that list.
	listed  bool
	reading fleet.Inventory
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
	vm.seats.Inventory = func() (fleet.Inventory, bool) { return vm.reading, true }
	vm.seats.Announced = func(seat Seat) bool { return model.announced(vm, seat) }
}

// announced reports whether another process that runs holds a seat.
func (model *seatModel) announced(listener *modelVM, seat Seat) bool {
	for _, vm := range model.vms {
		if own, _, ok := vm.seats.Own(); vm != listener && !vm.paused && ok && own == seat {
			return true
		}
	}
	return false
}

// list changes the list of VMs: those that are gone leave it, and new ones may be shown.
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
		vm.reading = model.inventory
	}
}

func (model *seatModel) draw(rt *rapid.T) *modelVM {
	return model.vms[rapid.IntRange(0, len(model.vms)-1).Draw(rt, "vm")]
}

// step lets a process that runs see the store as its watch does after it connected, and act.
func (model *seatModel) step(vm *modelVM) {
	if vm.paused {
		return
	}
	entries, err := standin.NewDirect(model.standin).List(context.Background(), seatsPrefix)
	if err == nil {
		first := vm.seats.claimFrom
		for _, entry := range entries {
			vm.seats.onChange(platform.Change{Entry: entry})
		}
		vm.seats.onChange(platform.Change{CaughtUp: true})
		if !first.IsZero() {
			vm.seats.claimFrom = first
		}
	}
	_ = vm.seats.Step(context.Background())
}

// restore sets the store back. The processes that run write back what it lost within the delay before a claim.
func (model *seatModel) restore(rt *rapid.T) {
	running := 0
	for _, vm := range model.vms {
		if !vm.paused && !vm.seats.claimFrom.IsZero() {
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
				vm.seats.claimFrom = model.now.Add(claimDelay)
			}
			model.step(vm)
		}
		model.now = model.now.Add(repairDelay)
	}
}

// check refuses seats with two holders among the processes that run or are paused.
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

// Guards against a seat with two holders under any order of starts, ends, pauses, outages, lost answers, and a store
// that loses its newer contents, and against seats that stay empty afterwards.
func TestSeatsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		model := newSeatModel()
		model.snapshots = append(model.snapshots, model.standin.Snapshot())
		rt.Repeat(map[string]func(*rapid.T){
			"step": func(rt *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
				model.step(model.draw(rt))
			},
			"step all": func(*rapid.T) {
				model.now = model.now.Add(claimDelay)
				for _, vm := range model.vms {
					model.step(vm)
				}
			},
			"pause":   func(rt *rapid.T) { model.draw(rt).paused = rapid.Bool().Draw(rt, "paused") },
			"restart": func(rt *rapid.T) { model.startProcess(model.draw(rt)) },
			"replace": func(rt *rapid.T) {
				index := rapid.IntRange(0, len(model.vms)-1).Draw(rt, "vm")
				model.vms = append(model.vms[:index:index], model.vms[index+1:]...)
				model.startVM()
			},
			"release":  func(rt *rapid.T) { _ = model.draw(rt).seats.Release(context.Background()) },
			"list":     func(rt *rapid.T) { model.list(func() bool { return rapid.Bool().Draw(rt, "shown") }) },
			"read":     func(rt *rapid.T) { model.draw(rt).reading = model.inventory },
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
				rt.Fatalf("seat %d stays empty with %d processes", seat, len(model.vms))
			}
		}
	})
}

// Guards against a seat that is taken from a holder whose VM is not proven to be gone or restarted.
func TestWhoMayTakeASeat(t *testing.T) {
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
		{"free, but a live process says that it holds it", seatRecord{}, []string{"vm0"}, 5, true, false},
		{"free, but this VM is not listed", seatRecord{}, nil, 5, false, false},
		{"holder is listed", held("vm1", 1), []string{"vm0", "vm1"}, 6, false, false},
		{"holder is gone", held("vm1", 1), []string{"vm0"}, 6, false, true},
		{"holder is gone from the list but lives", held("vm1", 1), []string{"vm0"}, 6, true, false},
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
			model.vms[0].reading.Revision = test.revision
			for _, name := range test.listed {
				model.vms[0].reading.Entries = append(model.vms[0].reading.Entries, vmOf(name))
			}
			if err := seats.write(context.Background(), 0, test.record, 0); err != nil {
				t.Fatal(err)
			}
			model.step(model.vms[0])
			model.now = model.now.Add(claimDelay)
			model.step(model.vms[0])
			if _, _, took := seats.Own(); took != test.want {
				t.Errorf("process takes the seat: %v, want %v", took, test.want)
			}
		})
	}
}

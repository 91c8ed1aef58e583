package fleet

import "fmt"

// Worker is a machine that provides processors, memory and accelerators.
type Worker struct {
	ID         WorkerID     `json:"worker_id"`
	Address    string       `json:"address"`
	Region     RegionID     `json:"region"`
	DataCentre DataCentreID `json:"data_centre"`
	// Rack is unique only within its data centre.
	Rack         RackID       `json:"rack"`
	Cores        Cores        `json:"cores"`
	Memory       Bytes        `json:"memory_bytes"`
	Accelerators Accelerators `json:"accelerators"`
	// Leaving is true if the platform has announced the removal of the VM. The worker gets no new work then.
	Leaving bool `json:"leaving,omitempty"`
}

// Target is a machine that runs short requests of a service.
type Target struct {
	ID         TargetID     `json:"target_id"`
	Address    string       `json:"address"`
	Service    ServiceName  `json:"service"`
	DataCentre DataCentreID `json:"data_centre"`
	// Slots limits the requests that run at the same time, summed over all entry VMs.
	Slots int `json:"slots"`
	// Connections limits the open connections, summed over all entry VMs.
	Connections int `json:"connections"`
	// Leaving is true if the platform has announced the removal of the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// EntryVM is a machine that runs an entry process.
type EntryVM struct {
	ID         VMID         `json:"vm_id"`
	Address    string       `json:"address"`
	Region     RegionID     `json:"region"`
	DataCentre DataCentreID `json:"data_centre"`
	// Leaving is true if the platform has announced the removal of the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// Inventory is a snapshot of the VM list of the platform.
type Inventory struct {
	// Revision increases with every change of the list.
	Revision int64     `json:"revision"`
	Workers  []Worker  `json:"workers"`
	Targets  []Target  `json:"targets"`
	Entries  []EntryVM `json:"entries"`
}

// Adjacency is how close together the members of a gang must be placed.
type Adjacency int

const (
	// AdjacencyDataCentre places all members in one data centre.
	AdjacencyDataCentre Adjacency = iota
	// AdjacencyRack places all members in one rack.
	AdjacencyRack
	// AdjacencyWorker places all members on one worker.
	AdjacencyWorker
)

var adjacencyNames = map[Adjacency]string{
	AdjacencyDataCentre: "data_centre",
	AdjacencyRack:       "rack",
	AdjacencyWorker:     "worker",
}

// String returns the name that settings and documents use.
func (adjacency Adjacency) String() string {
	if name, ok := adjacencyNames[adjacency]; ok {
		return name
	}
	return fmt.Sprintf("adjacency(%d)", int(adjacency))
}

// MarshalText returns the name that settings and documents use.
func (adjacency Adjacency) MarshalText() ([]byte, error) {
	return []byte(adjacency.String()), nil
}

// UnmarshalText parses the name that settings and documents use.
func (adjacency *Adjacency) UnmarshalText(text []byte) error {
	for value, name := range adjacencyNames {
		if name == string(text) {
			*adjacency = value
			return nil
		}
	}
	return fmt.Errorf("adjacency %q is none of data_centre, rack, worker", text)
}

// Shape describes a gang: its number of equal members, their resources, and their adjacency. Each member is a task that
// runs on one worker.
type Shape struct {
	// Members is the number of members; at least 1.
	Members int `json:"members"`
	// Accelerators is the number of accelerators of each member; at least 1.
	Accelerators Accelerators `json:"accelerators"`
	// Cores is the number of processor cores of each member.
	Cores Cores `json:"cores"`
	// Memory is the memory of each member in bytes.
	Memory    Bytes     `json:"memory_bytes"`
	Adjacency Adjacency `json:"adjacency"`
}

// Total returns the number of accelerators of all members.
func (shape Shape) Total() Accelerators {
	return Accelerators(shape.Members) * shape.Accelerators
}

// String returns a readable description of the shape.
func (shape Shape) String() string {
	return fmt.Sprintf("%d x %d accelerators in one %s", shape.Members, shape.Accelerators, shape.Adjacency)
}

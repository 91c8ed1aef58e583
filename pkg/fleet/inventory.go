package fleet

import "fmt"

// Worker is a machine that provides processors, memory and accelerators.
type Worker struct {
	ID         WorkerID     `json:"worker_id"`
	Address    string       `json:"address"`
	Region     RegionID     `json:"region"`
	DataCentre DataCentreID `json:"data_centre"`
	// Rack is unique only within DataCentre.
	Rack         RackID       `json:"rack"`
	Cores        Cores        `json:"cores"`
	Memory       Bytes        `json:"memory_bytes"`
	Accelerators Accelerators `json:"accelerators"`
	// Leaving is true when the platform's list says that the VM goes away; it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Target is a machine of a service that runs short requests.
type Target struct {
	ID         TargetID     `json:"target_id"`
	Address    string       `json:"address"`
	Service    ServiceName  `json:"service"`
	DataCentre DataCentreID `json:"data_centre"`
	// Slots bounds the requests that run at once, from all entry VMs together.
	Slots int `json:"slots"`
	// Connections bounds the open connections, from all entry VMs together.
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving,omitempty"`
}

// EntryVM is a machine that runs an entry process.
type EntryVM struct {
	ID         VMID         `json:"vm_id"`
	Address    string       `json:"address"`
	Region     RegionID     `json:"region"`
	DataCentre DataCentreID `json:"data_centre"`
	Leaving    bool         `json:"leaving,omitempty"`
}

// Inventory is one reading of the platform's list.
type Inventory struct {
	// Revision grows with every change of the list.
	Revision int64     `json:"revision"`
	Workers  []Worker  `json:"workers"`
	Targets  []Target  `json:"targets"`
	Entries  []EntryVM `json:"entries"`
}

// Adjacency says how close together the members of a gang run.
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

// String returns the name used in settings.
func (adjacency Adjacency) String() string {
	if name, ok := adjacencyNames[adjacency]; ok {
		return name
	}
	return fmt.Sprintf("adjacency(%d)", int(adjacency))
}

// MarshalText writes the name used in settings.
func (adjacency Adjacency) MarshalText() ([]byte, error) {
	return []byte(adjacency.String()), nil
}

// UnmarshalText reads the name used in settings.
func (adjacency *Adjacency) UnmarshalText(text []byte) error {
	for value, name := range adjacencyNames {
		if name == string(text) {
			*adjacency = value
			return nil
		}
	}
	return fmt.Errorf("adjacency %q is none of data_centre, rack, worker", text)
}

// Shape is the form of a gang: equal members, each a task on one worker.
type Shape struct {
	// Members is the number of tasks; at least 1.
	Members int `json:"members"`
	// Accelerators is the number that each member holds; at least 1.
	Accelerators Accelerators `json:"accelerators"`
	// Cores is the number of processor cores of each member.
	Cores Cores `json:"cores"`
	// Memory is the memory of each member.
	Memory    Bytes     `json:"memory_bytes"`
	Adjacency Adjacency `json:"adjacency"`
}

// Total returns the accelerators of the whole gang.
func (shape Shape) Total() Accelerators {
	return Accelerators(shape.Members) * shape.Accelerators
}

// String describes the shape in a few words.
func (shape Shape) String() string {
	return fmt.Sprintf("%d x %d accelerators in one %s", shape.Members, shape.Accelerators, shape.Adjacency)
}

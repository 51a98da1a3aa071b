package wire

// MachineType is a type of machine that the cloud provides. CPUs, GPUs and MemoryGB are the
// capacity of one machine.
type MachineType struct {
	Name        string   `cbor:"sku" json:"sku"`
	CPUs        float64  `cbor:"cpus" json:"cpus"`
	GPUs        float64  `cbor:"gpus" json:"gpus"`
	MemoryGB    float64  `cbor:"memory_gb" json:"memory_gb"`
	CacheGB     float64  `cbor:"local_gb" json:"local_gb"`             // size of the image cache
	FetchGBPerS float64  `cbor:"fetch_gb_per_s" json:"fetch_gb_per_s"` // image download rate
	Price       float64  `cbor:"price" json:"price"`
	SpotPrice   float64  `cbor:"low_price" json:"low_price"`
	BootS       float64  `cbor:"boot_s" json:"boot_s"` // time that a machine takes to boot
	Zones       []string `cbor:"pastures" json:"pastures"`
}

// Fits reports whether one task of the job fits an empty machine of the type.
func (t *MachineType) Fits(j *Job) bool {
	return j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB
}

// MachineTypeList is the response to GET /flavors.
type MachineTypeList struct {
	Types []MachineType `cbor:"breeds" json:"breeds"`
}

// ProvisionRequest is the body of POST /rentals. A retry with the same RequestID provisions
// no additional machines.
type ProvisionRequest struct {
	RequestID string `cbor:"hire" json:"hire"`
	Type      string `cbor:"breed" json:"breed"`
	Zone      string `cbor:"pasture" json:"pasture"`
	Spot      bool   `cbor:"loaners" json:"loaners"`
	Count     int    `cbor:"how_many" json:"how_many"` // number of machines
}

// MachineNames is the response to a ProvisionRequest, and the body of POST /rentals/release.
type MachineNames struct {
	Machines []string `cbor:"rigs" json:"rigs"`
}

// States of a machine in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name    string  `cbor:"uid" json:"uid"`
	Address string  `cbor:"address" json:"address"`
	Type    string  `cbor:"breed" json:"breed"`
	Zone    string  `cbor:"pasture" json:"pasture"`
	Spot    bool    `cbor:"loaners" json:"loaners"`
	State   string  `cbor:"standing" json:"standing"`
	AgeS    float64 `cbor:"age_s" json:"age_s"`
}

// MachineList is one page of the cloud's list of machines. More is set if further pages follow.
type MachineList struct {
	Machines []ListedMachine `cbor:"rigs" json:"rigs"`
	More     bool            `cbor:"more" json:"more"`
}

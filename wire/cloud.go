package wire

// MachineType is one type of machine that the cloud provides.
type MachineType struct {
	Name        string   `cbor:"sku" json:"sku"`
	CPUs        float64  `cbor:"cpus" json:"cpus"`
	GPUs        float64  `cbor:"gpus" json:"gpus"`
	MemoryGB    float64  `cbor:"memory_gb" json:"memory_gb"`
	CacheGB     float64  `cbor:"local_gb" json:"local_gb"`
	FetchGBPerS float64  `cbor:"fetch_gb_per_s" json:"fetch_gb_per_s"`
	Price       float64  `cbor:"price" json:"price"`
	SpotPrice   float64  `cbor:"low_price" json:"low_price"`
	BootS       float64  `cbor:"boot_s" json:"boot_s"`
	Zones       []string `cbor:"pastures" json:"pastures"`
}

// Fits reports whether one task of the job fits an empty machine of the type.
func (t *MachineType) Fits(j *Job) bool {
	return j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB
}

// MachineTypeList is the answer to GET /flavors.
type MachineTypeList struct {
	Types []MachineType `cbor:"breeds" json:"breeds"`
}

// ProvisionRequest is the body of POST /rentals. A repeated RequestID is idempotent.
type ProvisionRequest struct {
	RequestID string `cbor:"hire" json:"hire"`
	Type      string `cbor:"breed" json:"breed"`
	Zone      string `cbor:"pasture" json:"pasture"`
	Spot      bool   `cbor:"loaners" json:"loaners"`
	Count     int    `cbor:"how_many" json:"how_many"`
}

// MachineNames is the answer to a ProvisionRequest and the body of a release.
type MachineNames struct {
	Machines []string `cbor:"rigs" json:"rigs"`
}

// States of a machine in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name    string  `cbor:"uid" json:"uid"`
	Address string  `cbor:"address" json:"address"`
	Type    string  `cbor:"breed" json:"breed"`
	Zone    string  `cbor:"pasture" json:"pasture"`
	Spot    bool    `cbor:"loaners" json:"loaners"`
	State   string  `cbor:"standing" json:"standing"`
	AgeS    float64 `cbor:"age_s" json:"age_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `cbor:"rigs" json:"rigs"`
	More     bool            `cbor:"more" json:"more"`
}

package deployment

import (
	"fmt"
	"path/filepath"

	"github.com/flamingohold/flamingohold/internal/process/instance"
	"github.com/flamingohold/flamingohold/internal/process/settings"
)

const (
	traceFolder    = "traces"
	logFolder      = "logs"
	settingsFolder = "settings"
	bundleFolder   = "bundle"
	secretFile     = "peer_secret"
	instancesFile  = "instances.json"
	warmFlag       = "--warm"
)

// planner assigns addresses and arguments to the processes of a deployment.
type planner struct {
	spec    Spec
	options Options
	ports   *portAllocator
	// peers are the peer addresses of the gateways.
	peers []string
	plan  *plan
}

// plan is the content of the file processes.json in the run folder.
type plan struct {
	Spec      Spec                `json:"spec"`
	Platform  string              `json:"platform"`
	Gateways  []string            `json:"gateways"`
	Instances []instance.Instance `json:"instances"`
	Processes []*Process          `json:"processes"`
}

// build fills in the plan and writes the settings files and the instance list.
func (p *planner) build() error {
	if err := p.planPlatform(); err != nil {
		return err
	}
	for i := range p.spec.Engines {
		if err := p.planInstance(p.spec.EngineService, i); err != nil {
			return err
		}
	}
	for i := range p.spec.PlainInstances {
		if err := p.planInstance(p.spec.PlainService, i); err != nil {
			return err
		}
	}
	for i := range p.spec.Gateways {
		if err := p.planGateway(i); err != nil {
			return err
		}
	}
	return writeJSON(p.path(instancesFile), p.plan.Instances)
}

func (p *planner) path(elements ...string) string {
	return filepath.Join(append([]string{p.options.Folder}, elements...)...)
}

// planPlatform adds the stand-in for the configuration service, the instance list
// and the weight store, and allocates the peer addresses of the gateways.
func (p *planner) planPlatform() error {
	address, err := p.ports.address()
	if err != nil {
		return err
	}
	p.plan.Platform = address
	p.add(&Process{
		Name: "platform", Role: roleStandIn, Program: p.program("standin"), Address: address,
		Arguments: []string{
			"platform", "--address", address, "--instances", p.path(instancesFile),
			"--lag", p.options.InstanceListLag.String(),
		},
	})
	for range p.spec.Gateways {
		peer, err := p.ports.address()
		if err != nil {
			return err
		}
		p.peers = append(p.peers, peer)
	}
	return nil
}

func (p *planner) program(name string) string { return filepath.Join(p.options.Programs, name) }

func (p *planner) add(process *Process) { p.plan.Processes = append(p.plan.Processes, process) }

// planInstance adds an upstream instance and its sidecar.
func (p *planner) planInstance(service string, i int) error {
	slot := fmt.Sprintf("%s-%d", service, i+1)
	upstream, err := p.ports.address()
	if err != nil {
		return err
	}
	s := p.commonSettings("sidecar-"+slot, p.spec.dataCentre(i))
	if err := p.allocate(&s.PeerAddress, &s.AdminAddress); err != nil {
		return err
	}
	s.Service = service
	s.Instance = slot
	s.Slot = slot
	s.SlotIncarnation = 1
	s.UpstreamAddress = upstream
	p.plan.Instances = append(p.plan.Instances, instance.Instance{
		Name: slot, Service: service, Slot: slot, DataCentre: s.DataCentre, Region: s.Region,
		UpstreamAddress: upstream, SidecarAddress: s.PeerAddress, SlotIncarnation: 1, State: instance.StateLive,
	})
	p.add(&Process{
		Name: slot, Role: roleStandIn, Program: p.program("standin"), Address: upstream,
		Arguments: p.upstreamArguments(service, slot, upstream),
	})
	return p.addSystemProcess("sidecar", RoleSidecar, s)
}

func (p *planner) upstreamArguments(service, name, address string) []string {
	if service == p.spec.PlainService {
		return []string{"plain", "--address", address, "--name", name, "--delay", p.options.PlainDelay.String()}
	}
	arguments := []string{
		"engine", "--address", address, "--name", name, "--model", p.spec.Model,
		"--weight-store", p.plan.Platform,
	}
	arguments = append(arguments, p.options.EngineArguments...)
	if p.spec.ChecksFencing {
		arguments = append(arguments, "--fencing")
	}
	if p.options.StartWarm {
		arguments = append(arguments, warmFlag)
	}
	return arguments
}

func (p *planner) planGateway(i int) error {
	s := p.commonSettings(fmt.Sprintf("gateway-%d", i+1), p.spec.dataCentre(i))
	s.PeerAddress = p.peers[i]
	if err := p.allocate(&s.CallerAddress, &s.AdminAddress); err != nil {
		return err
	}
	p.plan.Gateways = append(p.plan.Gateways, s.CallerAddress)
	return p.addSystemProcess("gateway", RoleGateway, s)
}

func (p *planner) commonSettings(name, dataCentre string) *settings.Settings {
	return &settings.Settings{
		Name:                 name,
		DataCentre:           dataCentre,
		Region:               p.spec.Region,
		PeerSecretFile:       p.path(secretFile),
		ConfigurationService: p.plan.Platform,
		InstanceList:         p.plan.Platform,
		GatewayPeers:         p.peers,
		TraceFile:            p.traceFile(name),
		ShutdownNoticeMillis: int(p.options.ShutdownNotice.Milliseconds()),
	}
}

func (p *planner) traceFile(name string) string {
	if !p.options.Trace {
		return ""
	}
	return p.path(traceFolder, name+".jsonl")
}

// allocate sets each of the addresses to a free one.
func (p *planner) allocate(addresses ...*string) error {
	for _, a := range addresses {
		address, err := p.ports.address()
		if err != nil {
			return err
		}
		*a = address
	}
	return nil
}

// addSystemProcess writes the settings file of a gateway or sidecar and adds the
// process.
func (p *planner) addSystemProcess(command string, role int, s *settings.Settings) error {
	file := p.path(settingsFolder, s.Name+".json")
	if err := writeJSON(file, s); err != nil {
		return err
	}
	p.add(&Process{
		Name: s.Name, Role: role, Program: p.program("flamingohold"),
		Arguments: []string{command, "--settings", file},
		Address:   s.PeerAddress, AdminAddress: s.AdminAddress,
	})
	return nil
}

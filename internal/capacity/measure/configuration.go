package measure

import (
	"encoding/json"
	"fmt"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/adoption"
	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const (
	models     = 12
	totalSlots = 1400
)

func configurationDefinitions() []definition {
	accounts := []int{1000, 2000, 4000, 8000, 13_000}
	return []definition{
		{"configuration_chunks", "B", "account", accounts, chunkSize},
		{"configuration_manifest", "B", "account", accounts, manifestSize},
		{"configuration_memory", "B", "account", accounts, configurationMemory},
		{"configuration_adopt", "ns", "account", accounts, adoptTime},
		{"configuration_change", "B", "account", accounts, changeSize},
		{"account_by_key", "ns", "account", accounts, accountByKey},
		{"account_by_name", "ns", "account", accounts, accountByName},
	}
}

func clientAccounts(n int) []account.Account {
	list := make([]account.Account, 0, n)
	for i := range n {
		list = append(list, account.Account{
			Name:              fmt.Sprintf("account-%05d", i),
			KeySHA256:         account.HashKey(fmt.Sprint("key-", i)),
			Weight:            1 + i%4,
			RequestsPerSecond: 2,
			Concurrency:       20,
		})
	}
	return list
}

func services() []service.Service {
	pool := service.Service{Name: "lm-pool", Kind: service.KindEngine}
	for i := range models {
		pool.Models = append(pool.Models, service.Model{Name: fmt.Sprintf("model-%d", i), ContextTokens: 32_768})
	}
	for i := range totalSlots {
		pool.Slots = append(pool.Slots, fmt.Sprintf("slot-%05d", i))
	}
	return []service.Service{pool}
}

func encode(accounts []account.Account) *bundle.Bundle {
	b, err := bundle.Encode(7, deploymentFleet(), services(), accounts)
	if err != nil {
		panic(err)
	}
	return b
}

func chunkSize(n int) float64 {
	total := 0
	for _, data := range encode(clientAccounts(n)).Chunks {
		total += len(data)
	}
	return float64(total)
}

func manifestSize(n int) float64 {
	data, err := json.Marshal(encode(clientAccounts(n)).Manifest)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// changeSize returns the number of bytes that a process fetches after a change of
// one account: the manifest and the chunks that it does not have yet.
func changeSize(n int) float64 {
	accounts := clientAccounts(n)
	before := encode(accounts)
	accounts[n/2].Weight += 5
	after := encode(accounts)
	total := 0
	for hash, data := range after.Chunks {
		if _, ok := before.Chunks[hash]; !ok {
			total += len(data)
		}
	}
	return float64(total) + manifestSize(n)
}

func adopt(b *bundle.Bundle) *configuration.Configuration {
	c, err := adoption.Decide(nil, b.Manifest, b.Chunks)
	if err != nil {
		panic(err)
	}
	return c
}

func configurationMemory(n int) float64 {
	b := encode(clientAccounts(n))
	return heapBytes(b, func() any { return adopt(b) })
}

func adoptTime(n int) float64 {
	b := encode(clientAccounts(n))
	return nanoseconds(func() { adopt(b) })
}

func accountByKey(n int) float64 {
	c := adopt(encode(clientAccounts(n)))
	key := fmt.Sprint("key-", n/2)
	return nanoseconds(func() { c.AccountByKey(key) })
}

func accountByName(n int) float64 {
	c := adopt(encode(clientAccounts(n)))
	name := fmt.Sprintf("account-%05d", n/2)
	return nanoseconds(func() { c.AccountByName(name) })
}

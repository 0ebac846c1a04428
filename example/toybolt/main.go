// Command toybolt is a graph database for trying out the router over Bolt: a primary, two replicas that are 200 ms
// behind, and the discovery service that lists them. Statements that begin with CREATE, MERGE, SET or DELETE write;
// "RETURN range(1, N)" returns N records.
package main

import (
	"flag"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/signal"
	"time"

	"micatrack/internal/standin"
)

func main() {
	listen := flag.String("discovery", "127.0.0.1:8500", "address of discovery")
	flag.Parse()
	names := []string{"primary", "replica-1", "replica-2"}
	group := standin.NewGroup(1, 3*time.Second, names...)
	var lines []standin.Server
	for i, name := range names {
		store, err := standin.NewBolt(name, group)
		if err != nil {
			log.Fatal(err)
		}
		defer store.Close()
		role := "primary"
		if i > 0 {
			role = "replica"
			group.SetLag(name, 200*time.Millisecond)
		}
		lines = append(lines, standin.Server{ID: name, Addr: store.Addr(), Zone: "a", Kind: "toy", Group: 1, State: "active", Weight: 1, Role: role,
			Protocol: "bolt"})
		fmt.Println(name, "at", store.Addr())
	}
	list := standin.NewServerList(lines...)
	go func() { log.Fatal(http.ListenAndServe(*listen, list)) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	said := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
			ledger := group.Ledger()
			for _, e := range ledger[said:] {
				verb := "read"
				if e.Write {
					verb = "wrote"
				}
				fmt.Printf("%s %s job %q\n", e.Store, verb, e.RequestID)
			}
			said = len(ledger)
		}
	}
}

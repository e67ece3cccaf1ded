package settings_test

import (
	"fmt"

	"github.com/agatekeel/agatekeel/settings"
)

func ExampleDecode() {
	_, err := settings.Decode("node.json", []byte(`{
		"node": "orders-1", "dataCentre": "york", "dataCentres": ["derby"], "platform": "http://10.0.0.1:8082",
		"listen": {"callers": "10.0.0.2:8080", "hop": "orders-1:7001", "pear": "10.0.0.2:7002", "peer": 7002}
	}`))
	fmt.Println(err)
	// Output:
	// node.json: listen.pear: unknown field
	// node.json: listen.peer: is the number 7002, must be text
	// node.json: dataCentre: "york" is not one of dataCentres: derby
	// node.json: listen.hop: "orders-1:7001" is not of the form IP:port
}

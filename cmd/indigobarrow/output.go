package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printJSON prints a message for scripts.
func printJSON(message proto.Message) error {
	encoded, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	fmt.Println(string(encoded))
	return nil
}

// table prints rows for people; the first one is the heading.
type table struct {
	writer *tabwriter.Writer
}

func newTable(heading ...string) *table {
	made := &table{writer: tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)}
	made.addRow(heading...)
	return made
}

func (table *table) addRow(cells ...string) {
	fmt.Fprintln(table.writer, strings.Join(cells, "\t"))
}

func (table *table) flush() error { return table.writer.Flush() }

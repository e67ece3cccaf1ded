// Command protorequest runs a protoc plugin on a .proto file without protoc. It
// encodes the plugin's request, and writes the files of the plugin's response:
//
//	protorequest request peer/peerpb peer.proto paths=source_relative > request
//	go tool protoc-gen-go < request > response
//	protorequest write peer/peerpb < response
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "protorequest:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	switch {
	case len(args) == 4 && args[0] == "request":
		return request(args[1], args[2], args[3])
	case len(args) == 2 && args[0] == "write":
		return write(args[1])
	}
	return fmt.Errorf("usage: protorequest request DIR FILE PARAMETER | protorequest write DIR")
}

// request compiles one .proto file and writes a CodeGeneratorRequest for it to
// standard output.
func request(dir, file, parameter string) error {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{dir}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return fmt.Errorf("compile %s: %w", file, err)
	}
	req := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String(parameter),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	data, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	_, err = os.Stdout.Write(data)
	return err
}

// write reads a CodeGeneratorResponse from standard input and writes its files to a
// directory.
func write(dir string) error {
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(data, &resp); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if resp.Error != nil {
		return fmt.Errorf("protoc plugin failed: %s", resp.GetError())
	}
	for _, f := range resp.File {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write %s: %w", f.GetName(), err)
		}
	}
	return nil
}

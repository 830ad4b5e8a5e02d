package peer_test

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"cardamomspool/io/peer/peerpb"
)

// The golden files of an earlier build are written by that build and must not change:
// testdata/NAME.descriptor is its peer.proto as a FileDescriptorProto in base64,
// testdata/NAME.golden the bytes of its messages with all fields set.
const (
	oldBuildName = "old_build"     // Of 0e43ae4.
	newestBuild  = "build_762a605" // The first one with client accounts and evacuations.
)

// earlierBuilds lists the builds that hosts of this one may run beside.
var earlierBuilds = []string{oldBuildName, newestBuild}

// fill sets the fields of m that fields has, to values that depend on their numbers only. Of
// a oneof it sets the field of index choice.
func fill(m protoreflect.Message, fields protoreflect.MessageDescriptor, choice int) {
	for i := range fields.Fields().Len() {
		number := fields.Fields().Get(i).Number()
		f := m.Descriptor().Fields().ByNumber(number)
		if one := fields.Fields().Get(i).ContainingOneof(); one != nil && !one.IsSynthetic() && one.Fields().Get(choice%one.Fields().Len()).Number() != number {
			continue
		}
		value := func(element protoreflect.Value) protoreflect.Value {
			if f.Message() != nil {
				fill(element.Message(), fields.Fields().Get(i).Message(), 0)
				return element
			}
			return scalar(f.Kind(), int(number))
		}
		switch {
		case f.IsMap():
			key := scalar(f.MapKey().Kind(), int(number)).MapKey()
			entries := m.Mutable(f).Map()
			if f.MapValue().Message() != nil {
				element := entries.NewValue()
				fill(element.Message(), fields.Fields().Get(i).MapValue().Message(), 0)
				entries.Set(key, element)
			} else {
				entries.Set(key, scalar(f.MapValue().Kind(), int(number)))
			}
		case f.IsList():
			list := m.Mutable(f).List()
			list.Append(value(list.NewElement()))
		default:
			m.Set(f, value(m.NewField(f)))
		}
	}
}

// scalar returns a value that is not the default one.
func scalar(kind protoreflect.Kind, n int) protoreflect.Value {
	switch kind {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("s%d", n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(n), 0xff})
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.5)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(300 + n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(1<<40 + uint64(n))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(int32(300 + n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(1<<40 + int64(n))
	}
	panic("no value for fields of kind " + kind.String())
}

// choices returns how many values of m are needed so that each field of a oneof is set.
func choices(m protoreflect.MessageDescriptor) int {
	n := 1
	for i := range m.Oneofs().Len() {
		if !m.Oneofs().Get(i).IsSynthetic() {
			n = max(n, m.Oneofs().Get(i).Fields().Len())
		}
	}
	return n
}

// describeMessages returns a line with name and bytes for each message of file, with the
// types of this build and the fields of file.
func describeMessages(t *testing.T, file protoreflect.FileDescriptor) string {
	g := gomega.NewWithT(t)
	var text strings.Builder
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		for choice := range choices(m) {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(filled(t, m, choice))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			fmt.Fprintf(&text, "%s %s\n", m.Name(), hex.EncodeToString(data))
		}
	}
	return text.String()
}

// filled returns a message of this build with the fields that m has.
func filled(t *testing.T, m protoreflect.MessageDescriptor, choice int) proto.Message {
	of, err := protoregistry.GlobalTypes.FindMessageByName(m.FullName())
	if err != nil {
		t.Fatalf("%s of the old build: %v", m.FullName(), err)
	}
	message := of.New()
	fill(message, m, choice)
	return message.Interface()
}

// buildNamed returns the descriptor of the messages of an earlier build.
func buildNamed(t *testing.T, name string) protoreflect.FileDescriptor {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile("testdata/" + name + ".descriptor")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	data, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var described descriptorpb.FileDescriptorProto
	g.Expect(proto.Unmarshal(data, &described)).To(gomega.Succeed())
	file, err := protodesc.NewFile(&described, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return file
}

// Guards against a change of the bytes that hosts of an earlier build are sent while the
// fields that they don't know are empty.
func TestMessagesWithoutNewFieldsHaveTheBytesOfTheOldBuild(t *testing.T) {
	for _, build := range earlierBuilds {
		t.Run(build, func(t *testing.T) {
			g := gomega.NewWithT(t)
			want, err := os.ReadFile("testdata/" + build + ".golden")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(describeMessages(t, buildNamed(t, build))).To(gomega.Equal(string(want)))
		})
	}
}

// Guards against a message of an earlier build that is read differently, or of which a
// field is unknown.
func TestMessagesOfTheOldBuildAreDecoded(t *testing.T) {
	for _, build := range earlierBuilds {
		t.Run(build, func(t *testing.T) { checkDecoded(t, build) })
	}
}

// checkDecoded decodes the messages in the golden file of an earlier build.
func checkDecoded(t *testing.T, build string) {
	g := gomega.NewWithT(t)
	old := buildNamed(t, build)
	text, err := os.ReadFile("testdata/" + build + ".golden")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for i := range old.Messages().Len() {
		m := old.Messages().Get(i)
		for choice := range choices(m) {
			name, digits, _ := strings.Cut(lines[0], " ")
			lines = lines[1:]
			g.Expect(name).To(gomega.BeEquivalentTo(m.Name()))
			data, err := hex.DecodeString(digits)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			want := filled(t, m, choice)
			got := want.ProtoReflect().New().Interface()
			g.Expect(proto.Unmarshal(data, got)).To(gomega.Succeed())
			g.Expect(proto.Equal(got, want)).To(gomega.BeTrue(), "%s: %v", name, got) // Unknown fields count.
		}
	}
	g.Expect(lines).To(gomega.BeEmpty())
}

// Guards against new fields that make a host of the earlier build read the fields that it
// knows differently, or refuse the message.
func TestOldBuildReadsMessagesWithNewFields(t *testing.T) {
	g := gomega.NewWithT(t)
	old := buildNamed(t, oldBuildName)
	gained := make(map[protoreflect.Name]bool)
	for i := range old.Messages().Len() {
		m := old.Messages().Get(i)
		for choice := range choices(m) {
			now := filled(t, m, choice)
			withNew := now.ProtoReflect().New()
			fill(withNew, withNew.Descriptor(), choice)
			data, err := proto.Marshal(withNew.Interface())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			got := dynamicpb.NewMessage(m)
			g.Expect(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, got)).To(gomega.Succeed())
			want := dynamicpb.NewMessage(m)
			fill(want, m, choice)
			g.Expect(proto.Equal(got, want)).To(gomega.BeTrue(), "%s: %v", m.Name(), got)
			gained[m.Name()] = gained[m.Name()] || !proto.Equal(now, withNew.Interface())
		}
	}
	for _, name := range []protoreflect.Name{"FleetUpdate", "CallArrive", "CallFinish", "CallSend"} {
		g.Expect(gained[name]).To(gomega.BeTrue(), "%s has new fields", name)
	}
	// A request for a second attempt is an event without content. It is only sent for a
	// decision that allows it, which an old control host does not make.
	extra := &peerpb.CallEvent{Call: 5, Service: "s", Event: &peerpb.CallEvent_Extra{Extra: &peerpb.CallExtra{}}}
	data, err := proto.Marshal(extra)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	event := old.Messages().ByName("CallEvent")
	got := dynamicpb.NewMessage(event)
	g.Expect(proto.Unmarshal(data, got)).To(gomega.Succeed())
	g.Expect(got.WhichOneof(event.Oneofs().ByName("event"))).To(gomega.BeNil())
	g.Expect(got.Get(event.Fields().ByName("call")).Uint()).To(gomega.BeEquivalentTo(5))
}

// Guards against a kind of message that no golden file of an earlier build has, so that a change of
// its bytes would go unnoticed. A new kind is added to this list, and taken off
// it with the golden file of a build that has it.
func TestGoldenFilesHaveAllMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	var recorded, known []protoreflect.Name
	for _, list := range []struct {
		names *[]protoreflect.Name
		file  protoreflect.FileDescriptor
	}{{&recorded, buildNamed(t, newestBuild)}, {&known, peerpb.File_peer_proto}} {
		for i := range list.file.Messages().Len() {
			*list.names = append(*list.names, list.file.Messages().Get(i).Name())
		}
	}
	var added []protoreflect.Name
	g.Expect(known).To(gomega.ConsistOf(append(recorded, added...)))
}

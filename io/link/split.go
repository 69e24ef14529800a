package link

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"caroblane/core/model"
	"caroblane/io/link/wire"
)

// splitReport divides a report into parts whose encoding has at most a number of bytes.
// Each has the fields that are no lists, a share of the elements of the lists, and the
// next sequence number. It returns how many elements do not fit the allowed parts.
func splitReport(report *wire.Report, limit int) (parts []*wire.Report, left int) {
	if proto.Size(report) <= limit {
		return []*wire.Report{report}, 0
	}
	head := withoutLists(report)
	newPart := func() *wire.Report {
		part, _ := proto.Clone(head).(*wire.Report)
		part.Seq += uint64(len(parts))
		parts = append(parts, part)
		return part
	}
	// A later part may need a longer sequence number.
	headSize := proto.Size(head) + protowire.SizeVarint(1<<64-1)
	part, size := newPart(), headSize
	fields := report.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !field.IsList() {
			continue
		}
		list := report.ProtoReflect().Get(field).List()
		for j := range list.Len() {
			n := elementSize(field, list.Get(j))
			if size+n > limit && size > headSize && len(parts) < model.MaxReportParts {
				part, size = newPart(), headSize
			}
			if size+n > limit {
				left++
				continue
			}
			part.ProtoReflect().Mutable(field).List().Append(list.Get(j))
			size += n
		}
	}
	return parts, left
}

// withoutLists returns a copy of a report without the fields that are lists.
func withoutLists(report *wire.Report) *wire.Report {
	head := &wire.Report{}
	report.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !field.IsList() {
			head.ProtoReflect().Set(field, value)
		}
		return true
	})
	return head
}

// elementSize returns the most bytes that an element adds to the encoding of its list.
func elementSize(field protoreflect.FieldDescriptor, value protoreflect.Value) int {
	tag := protowire.SizeTag(field.Number())
	switch field.Kind() {
	case protoreflect.MessageKind:
		return tag + protowire.SizeBytes(proto.Size(value.Message().Interface()))
	case protoreflect.StringKind:
		return tag + protowire.SizeBytes(len(value.String()))
	default:
		return tag + protowire.SizeVarint(1<<64-1)
	}
}

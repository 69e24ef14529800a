package front

//go:generate go tool ogen --target oasapi --package oasapi --clean --config ogen.yml openapi.yaml

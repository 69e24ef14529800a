package link

//go:generate buf generate

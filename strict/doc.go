// Package strict decodes JSON with comments into structs. It rejects unknown and repeated fields, wrong types and values out of
// range, and reports all errors of a document at once, each with its line, path and allowed values.
package strict

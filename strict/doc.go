// Package strict decodes JSON with comments and reports every fault at once, with line, path and allowed values.
package strict

// Command bench runs named cases under load and faults and compares policies with the baseline.
package main

// Package stored compares files of data folders with those that earlier builds wrote.
package stored

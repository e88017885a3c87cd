// Package recordlog keeps the records of all groups of a process on disk, and an index of them in memory.
//
// # Disk
//
// The log is a sequence of generations, each a folder with one tidwall/wal log of a few segment files. A generation is only appended
// to by the process that created it: Open scans the existing generations, makes them durable, and begins a new one. The library
// therefore never opens files that a crash may have damaged. The first record of a generation, its header, names the previous
// generation, the end of its durable records, and the floor: generations below the floor were removed, and are ignored and removed
// again if their files reappear. Each record carries a checksum over a random salt of its generation, its position, and its content;
// a file left over from an earlier use of the folder fails it.
//
// One goroutine writes. It takes all queued appends, writes them with one write, syncs once, and then calls their callbacks. After a
// failed write or sync everything that was not yet durable is removed from the index and fails with the error, files are truncated
// to their durable length, and the log continues in a new generation.
//
// Recovery applies records in the order in which they were written. In the last generation it stops at the first incomplete or
// damaged record, and ignores everything after it: each write after the last sync may be present, absent or torn. In the earlier
// generations, whose end is given by the next header, a damaged record is skipped and counted.
//
// The oldest generation is removed once its live records have been copied into the newest one, in slices between group commits, and
// a floor record there is durable. A deletion needs no copy: the record that it deleted is in the same generation or an older one.
//
// # Memory
//
// A record takes an index slot of 24 bytes, a quarter of that as spare capacity, about 5 bytes of index nodes, and one allocation of
// 22 bytes plus its key, and its value if that is kept inline: about 100 bytes with a key of 33 bytes and no inline value
// (BenchmarkMemoryPerRecord). Larger values are read from the files, apart from a small cache of recent ones. The library keeps the
// content of the newest segment in memory, so segments are short; each new segment costs two more syncs.
package recordlog

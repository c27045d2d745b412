/* Generated from schema/def/codes.def; do not edit. */
#include <primroselead/error.h>

const struct prl_code_info prl_codes[] = {
	{"OK", 0, "The call succeeded."},
	{"USAGE", 2, "The command line is wrong."},
	{"CONFIG", 3,
	 "A settings or service file is not valid; every fault is listed."},
	{"IO", 4, "A file, socket or directory could not be read or written."},
	{"MEMORY", 5, "An allocation failed."},
	{"STORE_DOWN", 6,
	 "The object store did not answer in time or answered with a server "
	 "error."},
	{"CONFLICT", 7,
	 "Another writer changed the object first; both versions are named."},
	{"UNSETTLED", 8,
	 "A write was sent and its answer lost, and reading back could not "
	 "settle it."},
	{"NOT_FOUND", 9, "The named object does not exist."},
	{"PROTOCOL", 10,
	 "A peer or the store sent something that is not in its protocol."},
	{"LIMIT", 11, "A fixed limit would be exceeded."},
	{"STALE", 12, "The data offered is older than data already held."},
	{"NOT_READY", 13,
	 "The process does not yet hold a configuration that it can trust."},
	{"FULL", 14, "A claim shard has no room within the retention window."},
	{"STOPPING", 15, "The process is leaving and takes no new work."},
};

const int prl_codes_count = 15;

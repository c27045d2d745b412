/* Generated from schema/def/codes.def; do not edit. */
#ifndef PRIMROSELEAD_CODES_H
#define PRIMROSELEAD_CODES_H

/** Numbered result codes; docs/ERRORS.md explains each. */
enum prl_code {
	/** The call succeeded. */
	PRL_OK = 0,
	/** The command line is wrong. */
	PRL_E_USAGE = 1,
	/** A settings or service file is not valid; every fault is listed. */
	PRL_E_CONFIG = 2,
	/** A file, socket or directory could not be read or written. */
	PRL_E_IO = 3,
	/** An allocation failed. */
	PRL_E_MEMORY = 4,
	/** The object store did not answer in time or answered with a server
	   error. */
	PRL_E_STORE_DOWN = 5,
	/** Another writer changed the object first; both versions are named. */
	PRL_E_CONFLICT = 6,
	/** A write was sent and its answer lost, and reading back could not
	   settle it. */
	PRL_E_UNSETTLED = 7,
	/** The named object does not exist. */
	PRL_E_NOT_FOUND = 8,
	/** A peer or the store sent something that is not in its protocol. */
	PRL_E_PROTOCOL = 9,
	/** A fixed limit would be exceeded. */
	PRL_E_LIMIT = 10,
	/** The data offered is older than data already held. */
	PRL_E_STALE = 11,
	/** The process does not yet hold a configuration that it can trust. */
	PRL_E_NOT_READY = 12,
	/** A claim shard has no room within the retention window. */
	PRL_E_FULL = 13,
	/** The process is leaving and takes no new work. */
	PRL_E_STOPPING = 14,
};

#endif

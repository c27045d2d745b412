#ifndef PRIMROSELEAD_SCHEMA_H
#define PRIMROSELEAD_SCHEMA_H

#include <apr_pools.h>
#include <primroselead/address.h>
#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Size of a name or path in bytes, its end included. */
#define PRL_NAME_MAX 64

/** Most items of one list. */
#define PRL_LIST_MAX 8

/** Most faults that are kept of one file; further ones are counted. */
#define PRL_FAULTS_MAX 64

/** A list of names. */
struct prl_list {
	int n;
	char item[PRL_LIST_MAX][PRL_NAME_MAX];
};

/** Type of a key's value. */
enum prl_type {
	PRL_TYPE_NONE,
	PRL_TYPE_STRING,
	PRL_TYPE_INT,
	PRL_TYPE_ENUM,
	PRL_TYPE_LIST,
	PRL_TYPE_ADDRESS,
};

/** A key of a section; a table of them ends with a row without a name. */
struct prl_key {
	const char *name;
	enum prl_type type;
	size_t offset;
	int required;
	const char *preset;
	int64_t min;
	int64_t max;
	const char *const *values;
	const char *unit;
};

/** A section of a file; a table of them ends with a row without a name. */
struct prl_section {
	const char *name;
	int many;
	const struct prl_key *keys;
	size_t size;
	size_t offset;
	size_t count_offset;
};

/** A kind of file. */
struct prl_schema {
	const char *name;
	size_t size;
	const struct prl_section *sections;
};

/** One fault of a file: where it is, what was read, what is allowed. */
struct prl_fault {
	int line;
	char section[PRL_NAME_MAX * 2];
	char key[PRL_NAME_MAX];
	char text[256];
};

/** The faults of one file. */
struct prl_faults {
	char file[256];
	int n;
	int dropped;
	struct prl_fault fault[PRL_FAULTS_MAX];
};

/** Adds a fault; counts it as dropped if the table is full. */
void prl_fault_add(struct prl_faults *faults, int line, const char *section,
		   const char *key, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/** Prints the faults, a line each. */
void prl_faults_print(const struct prl_faults *faults, FILE *out);

/** Puts the faults into the order of their lines. */
void prl_faults_sort(struct prl_faults *faults);

/** Writes one fault as a line of text without a line end. */
void prl_fault_format(const struct prl_faults *faults, int i, char *text,
		      size_t size);

/**
 * Reads an INI text into the struct that a schema describes. Every fault is
 * added to the table. Arrays are allocated from the pool. Returns PRL_OK,
 * PRL_E_CONFIG if there was any fault, or PRL_E_MEMORY.
 */
enum prl_code prl_schema_read(const struct prl_schema *schema, const char *text,
			      size_t len, void *out, apr_pool_t *pool,
			      struct prl_faults *faults, struct prl_error *err);

/**
 * Reads a file whole into the pool, followed by a zero byte.
 * Returns PRL_OK, PRL_E_IO or PRL_E_LIMIT if it is longer than max bytes.
 */
enum prl_code prl_file_read(const char *path, size_t max, apr_pool_t *pool,
			    char **text, size_t *len, struct prl_error *err);

#endif

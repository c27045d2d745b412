#ifndef PRIMROSELEAD_SCHEMA_H
#define PRIMROSELEAD_SCHEMA_H

#include <apr_pools.h>
#include <primroselead/address.h>
#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Size of a name or path in bytes, including the terminating null byte. */
#define PRL_NAME_MAX 64

/** Maximum number of items in a list. */
#define PRL_LIST_MAX 8

/** Maximum number of faults recorded for a file; further faults are counted. */
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

/** Description of a key. An array of keys ends with a null name. */
struct prl_key {
	const char *name;
	enum prl_type type;
	/** Offset of the value in the section's struct. */
	size_t offset;
	/** Nonzero if it is a fault that the key is missing. */
	int required;
	/** Default value as text, or null. */
	const char *preset;
	/** Smallest and largest value of PRL_TYPE_INT. */
	int64_t min;
	int64_t max;
	/** Names of the values of PRL_TYPE_ENUM, up to a null pointer; the
	 * index of a name is its value. */
	const char *const *values;
	/** Unit shown in faults; may be empty. */
	const char *unit;
};

/** Description of a section. An array of sections ends with a null name. */
struct prl_section {
	const char *name;
	/** Nonzero if the section may be repeated, as "[name label]". */
	int many;
	const struct prl_key *keys;
	/** Size of the section's struct. */
	size_t size;
	/** Offset in the file's struct of the section's struct or, if the
	 * section may be repeated, of the pointer to an array of them. */
	size_t offset;
	/** Offset of the array's length, an int. */
	size_t count_offset;
};

/** Description of a type of INI file. */
struct prl_schema {
	const char *name;
	/** Size of the struct that the file is parsed into. */
	size_t size;
	const struct prl_section *sections;
};

/** An error in a file: its location, and a text that names the invalid value
 * and the valid ones. */
struct prl_fault {
	/** Line number from 1; 0 if the fault has no line. */
	int line;
	char section[PRL_NAME_MAX * 2];
	/** Empty if the fault concerns the whole section. */
	char key[PRL_NAME_MAX];
	char text[256];
};

/** The faults of one file. */
struct prl_faults {
	/** Name of the file, for messages. */
	char file[256];
	int n;
	/** Number of faults that were not recorded because the array was full.
	 */
	int dropped;
	struct prl_fault fault[PRL_FAULTS_MAX];
};

/** Records a fault, or counts it as dropped if PRL_FAULTS_MAX are recorded. */
void prl_fault_add(struct prl_faults *faults, int line, const char *section,
		   const char *key, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/** Prints one line for each fault, and the number of dropped faults. */
void prl_faults_print(const struct prl_faults *faults, FILE *out);

/** Returns PRL_OK if there are no faults; else PRL_E_CONFIG, with the fault of
 * the first line and the number of the others as the error's text. */
enum prl_code prl_faults_error(struct prl_faults *faults,
			       struct prl_error *err);

/** Sorts the faults by line number. */
void prl_faults_sort(struct prl_faults *faults);

/** Formats fault i as "FILE:LINE: [SECTION] KEY: TEXT", without a newline. */
void prl_fault_format(const struct prl_faults *faults, int i, char *text,
		      size_t size);

/**
 * Parses an INI text into the struct described by a schema. Keys that are not
 * in the text get their default values. All faults are recorded. Arrays are
 * allocated from the pool. Returns PRL_OK, PRL_E_CONFIG if there are faults, or
 * PRL_E_MEMORY. The text must be null-terminated; "len" excludes the null byte.
 */
enum prl_code prl_schema_parse(const struct prl_schema *schema,
			       const char *text, size_t len, void *out,
			       apr_pool_t *pool, struct prl_faults *faults,
			       struct prl_error *err);

/**
 * Reads a file into memory of the pool and appends a null byte, which is not
 * counted in *len. Returns PRL_OK, PRL_E_IO, PRL_E_MEMORY, or PRL_E_LIMIT if
 * the file is larger than "max" bytes.
 */
enum prl_code prl_file_read(const char *path, size_t max, apr_pool_t *pool,
			    char **text, size_t *len, struct prl_error *err);

#endif

#ifndef PRIMROSELEAD_ERROR_H
#define PRIMROSELEAD_ERROR_H

#include <primroselead/codes.h>

/** Size of an error's text in bytes, including the terminating null byte. */
#define PRL_ERROR_TEXT_MAX 512

/** An error: a result code and a text that names what failed. */
struct prl_error {
	enum prl_code code;
	char text[PRL_ERROR_TEXT_MAX];
};

/** A result code: its name, the command's exit status for it and what it
 * means. */
struct prl_code_info {
	const char *name;
	int exit_status;
	const char *meaning;
};

/** All result codes, indexed by enum prl_code. */
extern const struct prl_code_info prl_codes[];

/** Number of entries of prl_codes. */
extern const int prl_codes_count;

/**
 * Sets the code and the formatted text of an error, which may be null; a text
 * that is too long is truncated. Returns the code, so that a function can set
 * an error and return its code in one statement.
 */
enum prl_code prl_error_set(struct prl_error *err, enum prl_code code,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Returns the name of a code, or "UNKNOWN" for a number not in prl_codes. */
const char *prl_code_name(enum prl_code code);

/** Returns the exit status of the command for a code, or 1 for a number not in
 * prl_codes. */
int prl_code_exit_status(enum prl_code code);

#endif

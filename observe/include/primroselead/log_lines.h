#ifndef PRIMROSELEAD_LOG_LINES_H
#define PRIMROSELEAD_LOG_LINES_H

#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

/* Reads back what log_event wrote, also after a collector has put something
 * before each line. */

/** Passes each line of a file on; what isn't a JSON object is passed over. The
 * line is freed afterwards unless "each" takes a reference. */
void log_lines_read(FILE *f, void (*each)(void *ctx, json_t *line), void *ctx);

/** Value of a line's key, or an empty text. */
const char *log_line_text(const json_t *line, const char *key);

/** Time of a line, in ms of the wall clock. */
int64_t log_line_time(const json_t *line);

#endif

#ifndef SCHEMA_SCAN_H
#define SCHEMA_SCAN_H

#include <primroselead/schema.h>

/**
 * Line of a group's heading (key null) or of a key in it; 0 if there is none.
 * GKeyFile does not keep line numbers.
 */
int schema_find_line(const char *text, const char *group, const char *key);

/**
 * Adds a fault for each group and each key that stands twice; GKeyFile would
 * merge them without a word.
 */
void schema_check_duplicates(const char *text, struct prl_faults *faults);

#endif

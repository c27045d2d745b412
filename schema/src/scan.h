#ifndef SCHEMA_SCAN_H
#define SCHEMA_SCAN_H

#include <primroselead/schema.h>

/**
 * Returns the number of the line with a group's heading (if key is null) or
 * with a key of the group, from 1; 0 if there is none. GKeyFile does not keep
 * line numbers.
 */
int schema_find_line(const char *text, const char *group, const char *key);

/**
 * Adds a fault for each duplicate group and key; GKeyFile merges duplicates
 * silently.
 */
void schema_check_duplicates(const char *text, struct prl_faults *faults);

#endif

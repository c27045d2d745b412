#ifndef CONFIG_WORKSPACES_H
#define CONFIG_WORKSPACES_H

#include <primroselead/inventory.h>

/** Sorts the workspaces of a manifest that was just installed, and fills the
 * table of their keys. A key that several workspaces hold identifies none; each
 * such key is counted among what is left out. */
void config_workspaces_sort(struct inventory *inv);

/** Fills the view's tables of workspaces and keys. The indexes of all regions
 * of the view must be known. */
void config_workspaces_fill(const struct inventory *inv,
			    struct config_builder *b, struct steer_view *v,
			    int64_t now);

#endif

#ifndef CONFIG_TEST_INVENTORY_FIXTURE_H
#define CONFIG_TEST_INVENTORY_FIXTURE_H

#include <primroselead/inventory.h>

/* Inventory of one service in two regions, for its tests. */

#define VMS 4

extern struct inventory inv;
extern struct config_builder builder;
extern struct steer_vm vm[VMS];
extern int64_t now_ms;

int setup(void **state);

int teardown(void **state);

/** Installs a manifest, and expects a result. */
void install_manifest(int64_t version, enum prl_code want);

struct fleet_upstream make_entry(const char *instance, const char *domain,
				 int64_t started_ms, int64_t sequence);

/** Installs an entry that is taken. */
void update_upstream(const char *instance, const char *domain,
		     int64_t started_ms, int64_t sequence, int64_t now);

/** View of one of the VMs at now_ms. */
struct steer_view *build_view(int self);

/** Number of upstreams in the view of the first VM. */
int count_upstreams(void);

#endif

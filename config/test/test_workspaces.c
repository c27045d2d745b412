/* Workspaces and their keys in a view. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "inventory_fixture.h"
#include <apr_general.h>
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time in ms after which the index of an unused name is free again, at least.
 */
#define REUSE_MS 600000

#define WORKSPACES_MANY 10000

/* Most time in which a view of many workspaces is built, in ms; a sanitizer
 * makes it some times longer. */
#define BUILD_MAX_MS 500

static struct prl_hash128 digest_of(const char *key)
{
	return prl_digest(key, strlen(key));
}

/* Sets a workspace's name and keys. */
static void set_workspace(struct fleet_workspace *w, const char *name,
			  const char *key, const char *other_key)
{
	w->name = strdup(name);
	w->key = calloc(2, sizeof(*w->key));
	w->key[w->nkey++] = digest_of(key);
	if (other_key)
		w->key[w->nkey++] = digest_of(other_key);
	w->priority = -1;
}

static void set_home(struct fleet_workspace *w, const char *region)
{
	w->allowed_region = calloc(1, sizeof(*w->allowed_region));
	w->allowed_region[0] = strdup(region);
	w->nallowed_region = 1;
}

static void install(int64_t version, struct fleet_workspace *w, int n)
{
	struct fleet_manifest manifest = {.version = version,
					  .has_workspaces = 1,
					  .workspace = w,
					  .nworkspace = n};

	assert_int_equal(inventory_install_manifest(&inv, &manifest, NULL),
			 PRL_OK);
	inv.list_complete = 1;
}

static const char *name_of(const struct steer_view *v, const char *key)
{
	struct prl_hash128 digest = digest_of(key);
	const struct steer_workspace *w = steer_find_workspace(v, &digest);

	return w ? w->name : "";
}

static const struct steer_workspace *find(const struct steer_view *v,
					  const char *name)
{
	return steer_find_workspace_by_id(v, prl_hash_string(name));
}

static void test_no_workspaces(void **state)
{
	struct steer_view *v;

	(void)state;
	install_manifest(1, PRL_OK);
	inv.list_complete = 1;
	v = build_view(0);
	assert_int_equal(v->has_workspaces, 0);
	assert_int_equal(v->nworkspace, 0);
	assert_string_equal(name_of(v, "k"), "");
	config_view_release(v);
}

static void test_workspaces_are_found(void **state)
{
	struct fleet_workspace *w = calloc(3, sizeof(*w));
	struct steer_view *v;

	(void)state;
	set_workspace(&w[0], "a", "k1", "k2");
	set_workspace(&w[1], "b", "k3", NULL);
	set_workspace(&w[2], "c", "k4", NULL);
	w[0].priority = 4;
	w[0].rate_milli = 7000;
	w[0].burst_milli = 9000;
	set_home(&w[0], "s");
	set_home(&w[1], "nowhere");
	install(2, w, 3);
	v = build_view(0);
	assert_int_equal(v->has_workspaces, 1);
	assert_string_equal(name_of(v, "k1"), "a");
	assert_string_equal(name_of(v, "k2"), "a");
	assert_string_equal(name_of(v, "k3"), "b");
	assert_string_equal(name_of(v, "k4"), "c");
	assert_string_equal(name_of(v, "K1"), "");
	assert_int_equal(find(v, "a")->priority, 4);
	assert_int_equal(find(v, "a")->rate_milli, 7000);
	assert_int_equal(find(v, "a")->burst_milli, 9000);
	assert_int_equal(find(v, "a")->region_mask, 1 << 1);
	assert_false(find(v, "a")->is_homeless);
	assert_true(find(v, "b")->is_homeless);
	assert_int_equal(find(v, "c")->region_mask, 0);
	assert_false(find(v, "c")->is_homeless);
	assert_int_equal(inv.manifest.nleft_out, 0);
	config_view_release(v);
}

/* Such a key identifies none, is counted and named by its digest; one that a
 * workspace holds twice is its own. */
static void test_shared_key_identifies_one(void **state)
{
	struct fleet_workspace *w = calloc(3, sizeof(*w));
	struct prl_hash128 digest = digest_of("shared");
	struct steer_view *v;
	char text[40];

	(void)state;
	set_workspace(&w[0], "a", "k1", "shared");
	set_workspace(&w[1], "b", "shared", "k2");
	set_workspace(&w[2], "c", "k3", "k3");
	install(2, w, 3);
	v = build_view(0);
	assert_string_equal(name_of(v, "shared"), "");
	assert_string_equal(name_of(v, "k1"), "a");
	assert_string_equal(name_of(v, "k2"), "b");
	assert_string_equal(name_of(v, "k3"), "c");
	assert_int_equal(inv.manifest.nleft_out, 1);
	snprintf(text, sizeof(text), "%016llx",
		 (unsigned long long)digest.high);
	assert_non_null(strstr(inv.manifest.left_out, text));
	assert_null(strstr(inv.manifest.left_out, "shared"));
	config_view_release(v);
}

/* A new version takes keys away, and a view from before keeps its own. */
static void test_key_outlives_its_version(void **state)
{
	struct fleet_workspace *w = calloc(1, sizeof(*w));
	struct steer_view *before;
	struct steer_view *after;

	(void)state;
	set_workspace(&w[0], "a", "k1", "k2");
	install(2, w, 1);
	before = build_view(0);
	w = calloc(1, sizeof(*w));
	set_workspace(&w[0], "a", "k2", "k3");
	install(3, w, 1);
	after = build_view(0);
	assert_string_equal(name_of(before, "k1"), "a");
	assert_string_equal(name_of(after, "k1"), "");
	assert_string_equal(name_of(after, "k2"), "a");
	assert_string_equal(name_of(after, "k3"), "a");
	config_view_release(after);
	config_view_release(before);
}

/* An index is the same in each view, and free again some time after its
 * workspace has gone. */
static void test_index_changes_hands(void **state)
{
	struct fleet_workspace *w = calloc(2, sizeof(*w));
	struct steer_view *v;
	int index[2];

	(void)state;
	set_workspace(&w[0], "a", "k1", NULL);
	set_workspace(&w[1], "b", "k2", NULL);
	install(2, w, 2);
	v = build_view(0);
	index[0] = find(v, "a")->stats_index;
	index[1] = find(v, "b")->stats_index;
	assert_int_not_equal(index[0], index[1]);
	config_view_release(v);
	w = calloc(2, sizeof(*w));
	set_workspace(&w[0], "c", "k3", NULL);
	set_workspace(&w[1], "b", "k2", NULL);
	install(3, w, 2);
	now_ms = 1000;
	v = build_view(0);
	assert_int_equal(find(v, "b")->stats_index, index[1]);
	assert_int_not_equal(find(v, "c")->stats_index, index[0]);
	assert_int_not_equal(find(v, "c")->stats_index, index[1]);
	config_view_release(v);
	now_ms += REUSE_MS;
	config_view_release(build_view(0));
	w = calloc(2, sizeof(*w));
	set_workspace(&w[0], "d", "k4", NULL);
	set_workspace(&w[1], "b", "k2", NULL);
	install(4, w, 2);
	v = build_view(0);
	assert_int_equal(find(v, "d")->stats_index, index[0]);
	config_view_release(v);
	now_ms = 0;
}

static void test_many_workspaces_are_slow(void **state)
{
	struct fleet_workspace *w = calloc(WORKSPACES_MANY, sizeof(*w));
	struct steer_view *v;
	char name[32];
	char key[2][32];
	int64_t began_ms;

	(void)state;
	for (int i = 0; i < WORKSPACES_MANY; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		snprintf(key[0], sizeof(key[0]), "a%d", i);
		snprintf(key[1], sizeof(key[1]), "b%d", i);
		set_workspace(&w[i], name, key[0], key[1]);
	}
	install(2, w, WORKSPACES_MANY);
	config_view_release(build_view(0));
	began_ms = prl_now_ms();
	v = build_view(0);
	print_message("view of %d workspaces: %lld ms\n", WORKSPACES_MANY,
		      (long long)(prl_now_ms() - began_ms));
	assert_true(prl_now_ms() - began_ms < BUILD_MAX_MS);
	for (int i = 0; i < WORKSPACES_MANY; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		snprintf(key[0], sizeof(key[0]), "b%d", i);
		assert_string_equal(name_of(v, key[0]), name);
		assert_string_equal(find(v, name)->name, name);
	}
	assert_int_equal(v->nleft_out, 0);
	config_view_release(v);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_no_workspaces, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_workspaces_are_found,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_shared_key_identifies_one,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_key_outlives_its_version,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_index_changes_hands, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_many_workspaces_are_slow,
						setup, teardown),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}

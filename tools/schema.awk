# Generates from one schema file the C structs, the C table of the parser, or
# the reference page. Usage: awk -f tools/schema.awk -v out=header|table|page FILE.def
#
# A schema file holds one "# file KIND: TITLE" line, then "section" and "key" lines:
#   section NAME once|many HELP
#   key NAME TYPE DEFAULT MIN MAX UNIT HELP
#   key NAME enum DEFAULT CHOICE,CHOICE,... - - HELP
# TYPE is int, enum, list, string or address. "-" stands for no value; the DEFAULT
# "required" makes the key mandatory.
#
# Sections are numbered from 1 to nsection, keys from 1 to nkey; the arrays
# section_* and key_* hold their fields by number.

# C type of a key, up to the member's name.
function c_type(t)
{
	if (t == "int")
		return "int64_t "
	if (t == "enum")
		return "int "
	if (t == "list")
		return "struct prl_list "
	return "char "
}

# Part of the name of an enumerator.
function c_constant(s)
{
	gsub(/-/, "_", s)
	return toupper(s)
}

# Text of the line from a field on, with single spaces.
function fields_from(first,   i, s)
{
	s = $first
	for (i = first + 1; i <= NF; i++)
		s = s " " $i
	return s
}

/^# file / {
	file = $3
	sub(":", "", file)
	title = fields_from(4)
	next
}
/^section / {
	nsection++
	section_name[nsection] = $2
	section_repeats[nsection] = $3 == "many"
	section_help[nsection] = fields_from(4)
	next
}
/^key / {
	nkey++
	key_section[nkey] = nsection
	key_name[nkey] = $2
	key_type[nkey] = $3
	key_default[nkey] = $4
	if ($3 == "enum") {
		key_choices[nkey] = $5
		key_min[nkey] = $6
		key_max[nkey] = $7
		key_unit[nkey] = "-"
		key_help[nkey] = fields_from(8)
		next
	}
	key_min[nkey] = $5
	key_max[nkey] = $6
	key_unit[nkey] = $7
	key_help[nkey] = fields_from(8)
	next
}

function header(   i, k, n, e, j)
{
	printf "/* Generated from schema/def/%s.def; do not edit. */\n", file
	printf "#ifndef PRIMROSELEAD_%s_H\n", toupper(file)
	printf "#define PRIMROSELEAD_%s_H\n\n", toupper(file)
	print "#include <primroselead/schema.h>"
	print "#include <stdint.h>\n"
	for (k = 1; k <= nkey; k++) {
		if (key_type[k] != "enum")
			continue
		printf "/** Values of %s.%s. */\n", section_name[key_section[k]], key_name[k]
		printf "enum prl_%s_%s {\n", section_name[key_section[k]], key_name[k]
		n = split(key_choices[k], e, ",")
		for (j = 1; j <= n; j++)
			printf "\tPRL_%s_%s_%s = %d,\n", c_constant(section_name[key_section[k]]), c_constant(key_name[k]), c_constant(e[j]), j - 1
		print "};\n"
	}
	for (i = 1; i <= nsection; i++) {
		printf "/** [%s] %s */\n", section_name[i], section_help[i]
		printf "struct prl_%s_%s {\n", file, section_name[i]
		print "\t/** Second word of the section's heading; empty if none. */"
		print "\tchar label[PRL_NAME_MAX];"
		print "\t/** Line of the section's heading; 0 if it is absent. */"
		print "\tint line;"
		for (k = 1; k <= nkey; k++) {
			if (key_section[k] != i)
				continue
			printf "\t/** %s%s */\n", key_help[k], key_unit[k] == "-" ? "" : " Unit: " key_unit[k] "."
			printf "\t%s%s", c_type(key_type[k]), key_name[k]
			if (key_type[k] == "string")
				printf "[PRL_NAME_MAX]"
			if (key_type[k] == "address")
				printf "[PRL_ADDRESS_MAX]"
			print ";"
		}
		print "};\n"
	}
	printf "/** %s. */\n", title
	printf "struct prl_%s {\n", file
	for (i = 1; i <= nsection; i++) {
		if (section_repeats[i])
			printf "\tstruct prl_%s_%s *%s;\n\tint n%s;\n", file, section_name[i], section_name[i], section_name[i]
		else
			printf "\tstruct prl_%s_%s %s;\n", file, section_name[i], section_name[i]
	}
	print "};\n"
	printf "/** Parser table of this file kind. */\n"
	printf "extern const struct prl_schema prl_%s_schema;\n\n", file
	print "#endif"
}

function table(   i, k, n, e, j, s)
{
	printf "/* Generated from schema/def/%s.def; do not edit. */\n", file
	printf "#include <primroselead/%s.h>\n#include <stddef.h>\n\n", file
	for (k = 1; k <= nkey; k++) {
		if (key_type[k] != "enum")
			continue
		printf "static const char *const %s_%s_values[] = {", section_name[key_section[k]], key_name[k]
		n = split(key_choices[k], e, ",")
		for (j = 1; j <= n; j++)
			printf "\"%s\", ", e[j]
		print "0};\n"
	}
	for (i = 1; i <= nsection; i++) {
		printf "static const struct prl_key %s_keys[] = {\n", section_name[i]
		for (k = 1; k <= nkey; k++) {
			if (key_section[k] != i)
				continue
			s = "struct prl_" file "_" section_name[i]
			printf "\t{.name = \"%s\", .type = PRL_TYPE_%s, ", key_name[k], toupper(key_type[k])
			printf ".offset = offsetof(%s, %s), ", s, key_name[k]
			if (key_default[k] == "required")
				printf ".required = 1, "
			else if (key_default[k] != "-")
				printf ".preset = \"%s\", ", key_default[k]
			if (key_type[k] == "int")
				printf ".min = %s, .max = %s, ", key_min[k], key_max[k]
			if (key_type[k] == "enum")
				printf ".values = %s_%s_values, ", section_name[i], key_name[k]
			printf ".unit = \"%s\"},\n", key_unit[k] == "-" ? "" : key_unit[k]
		}
		print "\t{0},\n};\n"
	}
	printf "static const struct prl_section sections[] = {\n"
	for (i = 1; i <= nsection; i++) {
		s = "struct prl_" file
		printf "\t{.name = \"%s\", .many = %d, .keys = %s_keys, ", section_name[i], section_repeats[i], section_name[i]
		printf ".size = sizeof(%s_%s), ", s, section_name[i]
		printf ".offset = offsetof(%s, %s)", s, section_name[i]
		if (section_repeats[i])
			printf ", .count_offset = offsetof(%s, n%s)", s, section_name[i]
		print "},"
	}
	print "\t{0},\n};\n"
	printf "const struct prl_schema prl_%s_schema = {\n", file
	printf "\t.name = \"%s\",\n\t.size = sizeof(struct prl_%s),\n\t.sections = sections,\n};\n", file, file
}

function page(   i, k, r)
{
	printf "# Reference: %s file\n\n", file
	printf "%s. Written from `schema/def/%s.def`.\n", toupper(substr(title, 1, 1)) substr(title, 2), file
	for (i = 1; i <= nsection; i++) {
		printf "\n## [%s%s]\n\n%s%s\n\n", section_name[i], section_repeats[i] ? " LABEL" : "", section_help[i], section_repeats[i] ? " May stand more than once, each with its own label." : ""
		print "| key | type | default | allowed | unit | meaning |"
		print "| --- | --- | --- | --- | --- | --- |"
		for (k = 1; k <= nkey; k++) {
			if (key_section[k] != i)
				continue
			r = "any"
			if (key_type[k] == "int")
				r = key_min[k] " to " key_max[k]
			if (key_type[k] == "enum") {
				r = key_choices[k]
				gsub(/,/, ", ", r)
			}
			if (key_type[k] == "address")
				r = "IP number and port"
			printf "| %s | %s | %s | %s | %s | %s |\n", key_name[k], key_type[k], key_default[k] == "-" ? "none" : key_default[k], r, key_unit[k], key_help[k]
		}
	}
}

END {
	if (out == "header")
		header()
	if (out == "table")
		table()
	if (out == "page")
		page()
}

package org.sesamepin.cli;

import java.util.List;
import org.sesamepin.core.bundle.BundleProperties;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.config.SectionSchema;
import org.sesamepin.node.settings.NodeProperties;

/** {@code sesamepin reference}: prints the reference of settings and bundles as Markdown. */
final class ReferenceCommand implements Command {
    @Override
    public String name() {
        return "reference";
    }

    @Override
    public String summary() {
        return "prints every setting of nodes and bundles, as Markdown";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("reference");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        out.line("# Settings and bundles");
        out.line("");
        out.line("Made by `sesamepin reference` from the property descriptors.");
        printSchemas("Node settings", NodeProperties.SCHEMAS, out);
        printSchemas("Bundle", BundleProperties.SCHEMAS, out);
        return Main.EXIT_OK;
    }

    private static void printSchemas(String title, List<SectionSchema> schemas, Output out) {
        out.line("");
        out.line("## " + title);
        for (SectionSchema schema : schemas) {
            out.line("");
            out.line("### [" + schema.type() + (schema.named() ? " NAME]" : "]"));
            out.line("");
            if (schema.allowsAnyKey()) {
                out.line("Free keys: a name and its value on each line.");
                continue;
            }
            out.line("| key | allowed | default | what |");
            out.line("|---|---|---|---|");
            schema.properties().forEach(p -> printRow(p, out));
        }
    }

    private static void printRow(PropertyDescriptor<?> p, Output out) {
        String standard = p.isRequired() ? "required" : "`" + defaultText(p.defaultValue()) + "`";
        out.line(
                "| `"
                        + p.name()
                        + "` | "
                        + p.allowed()
                        + " | "
                        + standard
                        + " | "
                        + p.description()
                        + " |");
    }

    private static String defaultText(Object value) {
        if (value instanceof Enum<?> constant) {
            return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
        if (value instanceof java.net.InetSocketAddress) {
            return "none";
        }
        return value.toString();
    }
}

package org.cardamomthread.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.NodeSettingsLoader;

/** Validates declarations or settings offline. Stateless. */
final class ValidateCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("validate");
    }

    @Override
    public String usage() {
        return "<folder> | --settings <file>";
    }

    @Override
    public String description() {
        return "validates a folder of declarations, or the settings of a node";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.SETTINGS);
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        Optional<String> settings = context.arguments().findValue(CommandArguments.SETTINGS);
        if (settings.isPresent()) {
            CommandContext.requireNoPositionals(positionals);
            return validateSettings(Path.of(settings.get()), context);
        }
        String folder = CommandContext.requireSinglePositional(positionals, "the folder");
        Declarations declarations = DeclarationReader.load(folder);
        ObjectNode tree = CommandContext.newObjectNode();
        tree.put("valid", true);
        tree.put("digest", declarations.digest());
        context.print(tree, "valid, digest " + declarations.digest());
        return ExitCode.OK;
    }

    private static ExitCode validateSettings(Path file, CommandContext context)
            throws CommandException {
        try {
            NodeSettings settings = new NodeSettingsLoader().load(file);
            ObjectNode tree = CommandContext.newObjectNode();
            tree.put("valid", true);
            tree.put("nodeId", settings.nodeId().value());
            context.print(tree, "valid settings of node " + settings.nodeId());
            return ExitCode.OK;
        } catch (InvalidDocumentException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
    }
}
